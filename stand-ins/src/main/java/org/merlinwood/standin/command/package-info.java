/** Command line of the program that runs one stand-in as a process. */
package org.merlinwood.standin.command;
