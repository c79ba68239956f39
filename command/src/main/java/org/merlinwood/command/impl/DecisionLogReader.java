package org.merlinwood.command.impl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** Reads the decision lines of log files, one line at a time. Stateless. */
public final class DecisionLogReader {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private DecisionLogReader() {}

    /**
     * Passes the decisions of a log file to a consumer. Text before the JSON object of a line, such as a timestamp that
     * a log collector added, is skipped; so are lines that are no decisions.
     *
     * @param file log file with one JSON object per line
     * @param relevant chooses lines by their text, before they are parsed
     * @param consumer receives each decision
     * @param warnings receives a message for each line that should be JSON and is not
     * @throws IOException if the file can't be read
     */
    public static void read(
            Path file, Predicate<String> relevant, Consumer<JsonNode> consumer, Consumer<String> warnings)
            throws IOException {
        try (Stream<String> lines = Files.lines(file)) {
            lines.filter(relevant)
                    .forEach(line -> parse(line, warnings)
                            .filter(node -> node.has("decision"))
                            .ifPresent(consumer));
        }
    }

    private static Optional<JsonNode> parse(String line, Consumer<String> warnings) {
        int start = line.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(MAPPER.readTree(line.substring(start)));
        } catch (JsonProcessingException exception) {
            warnings.accept("skipped a line that is not valid JSON: " + exception.getOriginalMessage());
            return Optional.empty();
        }
    }
}
