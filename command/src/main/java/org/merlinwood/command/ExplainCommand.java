package org.merlinwood.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
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

    private static final ObjectMapper MAPPER = new ObjectMapper();
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
            try (Stream<String> lines = Files.lines(file)) {
                lines.filter(line -> line.contains(request))
                        .forEach(line -> parseDecision(line).ifPresent(decisions::add));
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

    /**
     * Parses a line. Skips any text before the JSON object, such as a timestamp that a log collector added. Empty if
     * the line is not a decision about the request.
     */
    private Optional<Decision> parseDecision(String line) {
        int start = line.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode node = MAPPER.readTree(line.substring(start));
            boolean isAboutRequest = node.path("request").asText().equals(request) && node.has("decision");
            return isAboutRequest
                    ? Optional.of(new Decision(
                            node.path("time").asText(), node.path("process").asText(), node))
                    : Optional.empty();
        } catch (JsonProcessingException exception) {
            specification
                    .commandLine()
                    .getErr()
                    .println("skipped a line that is not valid JSON: " + exception.getOriginalMessage());
            return Optional.empty();
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
