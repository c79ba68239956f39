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
 * Append-only record of the runs that a stand-in really executed. Thread-safe.
 *
 * <p>With a file, the records survive a crash of the stand-in and are loaded at its next start.
 *
 * @param <R> type of a run
 */
public final class Ledger<R extends SequencedRun> {

    private final TreeMap<Long, R> runs = new TreeMap<>();
    private final Optional<Path> file;

    /**
     * Creates a ledger and loads the file if it exists.
     *
     * @param file file that stores the runs, or empty to keep them in memory only
     * @param type record type of a run
     */
    public Ledger(Optional<Path> file, Class<R> type) {
        this.file = file;
        file.filter(Files::exists).ifPresent(path -> load(path, type));
    }

    /**
     * Returns the sequence number for the next run.
     *
     * @return one more than the highest recorded number, 1 in an empty ledger
     */
    public synchronized long nextSequence() {
        return runs.isEmpty() ? 1 : runs.lastKey() + 1;
    }

    /**
     * Records the state of a run.
     *
     * @param run the state; replaces an earlier one with the same sequence number
     */
    public synchronized void record(R run) {
        runs.put(run.sequence(), run);
        file.ifPresent(path -> append(path, run));
    }

    /**
     * Returns the latest state of every run.
     *
     * @return a copy, sorted by sequence number
     */
    public synchronized List<R> all() {
        return new ArrayList<>(runs.values());
    }

    private void append(Path path, R run) {
        try {
            Files.write(path, Json.line(run), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException exception) {
            throw new UncheckedIOException("cannot write the ledger file", exception);
        }
    }

    private void load(Path path, Class<R> type) {
        try {
            Files.readAllLines(path).stream()
                    .map(line -> Json.read(line.getBytes(StandardCharsets.UTF_8), type))
                    .forEach(run -> runs.put(run.sequence(), run));
        } catch (IOException exception) {
            throw new UncheckedIOException("cannot read the ledger file", exception);
        }
    }
}
