/** What the subcommands are made of: files, comparisons and their wording. */
package org.merlinwood.command.impl;
