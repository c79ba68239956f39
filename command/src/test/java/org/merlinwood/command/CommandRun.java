package org.merlinwood.command;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Arrays;
import picocli.CommandLine;

/** One run of the command line and what it printed. */
record CommandRun(int status, String output, String errors) {

    static CommandRun of(Object... arguments) {
        StringWriter output = new StringWriter();
        StringWriter errors = new StringWriter();
        CommandLine commandLine = MerlinwoodCommand.commandLine()
                .setOut(new PrintWriter(output, true))
                .setErr(new PrintWriter(errors, true));
        String[] texts = Arrays.stream(arguments).map(Object::toString).toArray(String[]::new);
        int status = commandLine.execute(texts);
        return new CommandRun(status, output.toString(), errors.toString());
    }
}
