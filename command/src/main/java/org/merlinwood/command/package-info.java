/** The operators' command line: checks documents, shows what an edit changes, reads the state of a process. */
package org.merlinwood.command;
