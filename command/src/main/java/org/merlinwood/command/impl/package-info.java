/** Classes that the subcommands share: files and their kinds, and comparisons of two versions of a document. */
package org.merlinwood.command.impl;
