/** The operators' command line: checks documents, shows the effects of an edit, explains decisions, dumps state. */
package org.merlinwood.command;
