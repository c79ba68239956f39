/** Subcommands of the program that runs stand-ins as processes. */
package org.merlinwood.standin.command;
