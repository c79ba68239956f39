package org.merlinwood.replay.trace;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes traces as JSON lines. Stateless and thread-safe. */
public final class TraceFile {

    /** File name extension of trace files, including the dot. */
    public static final String SUFFIX = ".jsonl";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private TraceFile() {}

    /**
     * Reads a trace.
     *
     * @param file the file
     * @return the trace
     * @throws UncheckedIOException if the file can't be read or is not a trace
     */
    public static Trace read(Path file) {
        try {
            List<String> lines = Files.readAllLines(file);
            TraceHeader header = MAPPER.readValue(lines.get(0), TraceHeader.class);
            List<TraceEvent> events = new ArrayList<>(lines.size());
            for (String line : lines.subList(1, lines.size())) {
                events.add(MAPPER.readValue(line, TraceEvent.class));
            }
            return new Trace(header, events);
        } catch (IOException exception) {
            throw new UncheckedIOException(file + " is not a valid trace file", exception);
        }
    }

    /**
     * Writes a trace.
     *
     * @param trace the trace
     * @param file the file; an existing file is replaced
     * @throws UncheckedIOException if the file can't be written
     */
    public static void write(Trace trace, Path file) {
        try {
            Files.write(file, lines(trace));
        } catch (IOException exception) {
            throw new UncheckedIOException("cannot write trace file " + file, exception);
        }
    }

    /**
     * Returns the lines of a trace file.
     *
     * @param trace the trace
     * @return the header line, followed by one line for each event
     */
    public static List<String> lines(Trace trace) {
        try {
            List<String> lines = new ArrayList<>();
            lines.add(MAPPER.writeValueAsString(trace.header()));
            for (TraceEvent event : trace.events()) {
                lines.add(MAPPER.writerFor(TraceEvent.class).writeValueAsString(event));
            }
            return lines;
        } catch (JsonProcessingException exception) {
            throw new UncheckedIOException("trace cannot be written as JSON", exception);
        }
    }
}
