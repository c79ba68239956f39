package org.merlinwood.standin.impl;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Append-only record of what really ran. Thread-safe.
 *
 * <p>With a file, what was recorded outlives a crash of the stand-in and is read again at its next start.
 *
 * @param <R> state of a run
 */
public final class Ledger<R extends SequencedRun> {

    private final TreeMap<Long, R> runs = new TreeMap<>();
    private final Optional<Path> file;

    /**
     * Creates a ledger.
     *
     * @param file where runs are kept, or empty to keep them in memory
     * @param type record of a run
     */
    public Ledger(Optional<Path> file, Class<R> type) {
        this.file = file;
        file.filter(Files::exists).ifPresent(path -> load(path, type));
    }

    /**
     * Returns the number of the next run.
     *
     * @return one above the highest
     */
    public synchronized long nextSequence() {
        return runs.isEmpty() ? 1 : runs.lastKey() + 1;
    }

    /**
     * Records the state of a run.
     *
     * @param run the state, which supersedes the one with the same number
     */
    public synchronized void record(R run) {
        runs.put(run.sequence(), run);
        file.ifPresent(path -> append(path, run));
    }

    /**
     * Returns the last state of every run.
     *
     * @return a copy in the order of starts
     */
    public synchronized List<R> all() {
        return new ArrayList<>(runs.values());
    }

    private void append(Path path, R run) {
        try {
            Files.write(path, Json.line(run), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException exception) {
            throw new UncheckedIOException("the ledger could not be written", exception);
        }
    }

    private void load(Path path, Class<R> type) {
        try {
            Files.readAllLines(path).stream()
                    .map(line -> Json.read(line.getBytes(StandardCharsets.UTF_8), type))
                    .forEach(run -> runs.put(run.sequence(), run));
        } catch (IOException exception) {
            throw new UncheckedIOException("the ledger could not be read", exception);
        }
    }
}
