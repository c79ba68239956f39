package org.merlinwood.standin;

import org.merlinwood.standin.command.Subcommands;
import picocli.CommandLine;

/** Main class of the program that runs one stand-in as a process. */
public final class StandInsCommand {

    private StandInsCommand() {}

    /**
     * Runs a stand-in until the process is asked to end.
     *
     * @param arguments subcommand and options
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new Subcommands()).execute(arguments));
    }
}
