package org.merlinwood.standin;

import org.merlinwood.standin.command.Subcommands;
import picocli.CommandLine;

/** Main class of the program that runs one stand-in as a process. Started by name from scripts. */
public final class StandInsCommand {

    private StandInsCommand() {}

    /**
     * Runs a stand-in until the process is terminated, then exits with the status of the subcommand.
     *
     * @param arguments the subcommand and its options
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new Subcommands()).execute(arguments));
    }
}
