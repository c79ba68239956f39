package org.merlinwood.command;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.merlinwood.command.impl.DecisionLogReader;
import org.merlinwood.command.impl.LossSummary;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The {@code losses} command: shows, from the logs of all entries of a day, which requests were lost or late, why, and
 * when and where most of them.
 */
@Command(
        name = "losses",
        description = "Prints the largest groups of requests that were lost or late, from the logs of all entries.",
        mixinStandardHelpOptions = true)
public final class LossesCommand implements Callable<Integer> {

    @Spec
    private CommandSpec specification;

    @Option(
            names = "--top",
            paramLabel = "N",
            defaultValue = "10",
            description = "number of groups (default: ${DEFAULT-VALUE})")
    private int top;

    @Option(
            names = "--late-stream-ms",
            paramLabel = "MS",
            defaultValue = "900",
            description = "first event later than this is late (default: ${DEFAULT-VALUE})")
    private long lateStreamMillis;

    @Option(
            names = "--late-plain-ms",
            paramLabel = "MS",
            defaultValue = "200",
            description = "plain response later than this is late (default: ${DEFAULT-VALUE})")
    private long latePlainMillis;

    @Parameters(
            arity = "1..*",
            paramLabel = "LOGFILE",
            description = "log files with one JSON object per line, each in the order of its lines")
    private List<Path> files;

    /** Creates the command. Called by picocli. */
    public LossesCommand() {}

    /**
     * Runs the command.
     *
     * @return 0, or 2 if a log can't be read
     */
    @Override
    public Integer call() {
        LossSummary summary = new LossSummary(lateStreamMillis, latePlainMillis);
        for (Path file : files) {
            try {
                DecisionLogReader.read(
                        file,
                        line -> true,
                        summary::add,
                        specification.commandLine().getErr()::println);
            } catch (IOException exception) {
                specification.commandLine().getErr().println(file + " can't be read: " + exception.getMessage());
                return ExitStatus.USAGE;
            }
        }
        print(summary, specification.commandLine().getOut());
        return ExitStatus.SUCCESS;
    }

    private void print(LossSummary summary, PrintWriter out) {
        out.println(summary.accepted() + " requests accepted");
        summary.largest(top).forEach(row -> out.println(format(row)));
    }

    private static String format(LossSummary.Row row) {
        String group = row.requests() + "  " + (row.route().isEmpty() ? "no route" : row.route()) + "  " + row.cause();
        String places = "  most in second " + format(row.worstSecond()) + ", at entry " + format(row.worstEntry());
        return group
                + places
                + row.worstInstance()
                        .map(count -> ", at instance " + format(count))
                        .orElse("");
    }

    private static String format(LossSummary.Count count) {
        return count.name() + " (" + count.requests() + ")";
    }
}
