package org.merlinwood.command;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Arrays;
import picocli.CommandLine;

/** Runs the command line in this process and captures its exit status and output. */
record CommandRun(int status, String output, String errors) {

    static CommandRun of(Object... arguments) {
        StringWriter output = new StringWriter();
        StringWriter errors = new StringWriter();
        CommandLine commandLine = MerlinwoodCommand.commandLine()
                .setOut(new PrintWriter(output, true))
                .setErr(new PrintWriter(errors, true));
        String[] commandArguments =
                Arrays.stream(arguments).map(Object::toString).toArray(String[]::new);
        int status = commandLine.execute(commandArguments);
        return new CommandRun(status, output.toString(), errors.toString());
    }
}
