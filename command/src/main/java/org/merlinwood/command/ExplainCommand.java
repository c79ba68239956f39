package org.merlinwood.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import org.merlinwood.command.impl.DecisionLogReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The {@code explain} command: prints the decisions about one request, sorted by time, from the logs of several
 * processes.
 */
@Command(
        name = "explain",
        description = "Prints the decisions about one request, sorted by time, from the logs of several processes.",
        mixinStandardHelpOptions = true)
public final class ExplainCommand implements Callable<Integer> {

    private static final List<String> LEADING_FIELDS = List.of("time", "process", "decision", "request");

    @Spec
    private CommandSpec specification;

    @Parameters(index = "0", paramLabel = "REQUEST", description = "identifier of the request")
    private String request;

    @Parameters(
            index = "1..*",
            arity = "1..*",
            paramLabel = "LOGFILE",
            description = "log files with one JSON object per line")
    private List<Path> files;

    /** Creates the command. Called by picocli. */
    public ExplainCommand() {}

    /** A decision parsed from one line of a log. */
    private record Decision(String time, String process, JsonNode line) {}

    /**
     * Runs the command.
     *
     * @return 0 if the request was found, 1 if no log contains it, 2 if a log can't be read
     */
    @Override
    public Integer call() {
        PrintWriter out = specification.commandLine().getOut();
        List<Decision> decisions = new ArrayList<>();
        for (Path file : files) {
            try {
                DecisionLogReader.read(
                        file,
                        line -> line.contains(request),
                        node -> addIfAboutRequest(node, decisions),
                        specification.commandLine().getErr()::println);
            } catch (IOException exception) {
                specification.commandLine().getErr().println(file + " can't be read: " + exception.getMessage());
                return ExitStatus.USAGE;
            }
        }
        decisions.sort(Comparator.comparing(Decision::time));
        decisions.forEach(decision -> out.println(format(decision)));
        if (decisions.isEmpty()) {
            out.println("no log names request " + request);
            return ExitStatus.FINDINGS;
        }
        return ExitStatus.SUCCESS;
    }

    private void addIfAboutRequest(JsonNode node, List<Decision> decisions) {
        if (node.path("request").asText().equals(request)) {
            decisions.add(new Decision(
                    node.path("time").asText(), node.path("process").asText(), node));
        }
    }

    private static String format(Decision decision) {
        StringBuilder text = new StringBuilder();
        text.append(decision.time())
                .append("  ")
                .append(decision.process())
                .append("  ")
                .append(decision.line().path("decision").asText());
        decision.line().properties().stream()
                .filter(field -> !LEADING_FIELDS.contains(field.getKey()))
                .forEach(field -> text.append("  ")
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText()));
        return text.toString();
    }
}
