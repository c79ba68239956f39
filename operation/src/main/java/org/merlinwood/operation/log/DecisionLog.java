package org.merlinwood.operation.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.merlinwood.core.time.MillisClock;

/**
 * Writes one JSON line for each decision. Thread-safe; never blocks its callers.
 *
 * <p>Lines wait in a bounded queue for one daemon thread. Where the reader of the output is too slow, lines are dropped
 * and their number is written with the next line that finds room.
 */
public final class DecisionLog {

    /** Lines that wait at most: some seconds of a busy entry. */
    private static final int QUEUED_LINES = 4_096;

    private static final JsonFactory JSON = new JsonFactory();

    private final String process;
    private final MillisClock clock;
    private final PrintStream output;
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();

    /**
     * Creates a log and starts its thread.
     *
     * @param process name of the process, in every line
     * @param clock the time
     * @param output where lines go
     */
    public DecisionLog(String process, MillisClock clock, PrintStream output) {
        this.process = process;
        this.clock = clock;
        this.output = output;
        Thread writer = new Thread(this::writeLines, "decision-log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Begins a line.
     *
     * @param decision what was decided, as a short name that stays stable
     * @return collects the inputs
     */
    public Line line(String decision) {
        return new Line(decision);
    }

    /** One line under construction. Used by one thread. */
    public final class Line {

        private final StringWriter text = new StringWriter();
        private final JsonGenerator generator;

        private Line(String decision) {
            try {
                generator = JSON.createGenerator(text);
                generator.writeStartObject();
                generator.writeStringField(
                        "time", Instant.ofEpochMilli(clock.wallMillis()).toString());
                generator.writeStringField("process", process);
                generator.writeStringField("decision", decision);
            } catch (IOException impossible) {
                throw new UncheckedIOException(impossible);
            }
        }

        /**
         * Adds a text.
         *
         * @param name name of the field
         * @param value its value
         * @return this line
         */
        @CanIgnoreReturnValue
        public Line with(String name, String value) {
            try {
                generator.writeStringField(name, value);
            } catch (IOException impossible) {
                throw new UncheckedIOException(impossible);
            }
            return this;
        }

        /**
         * Adds a number.
         *
         * @param name name of the field, with its unit
         * @param value its value
         * @return this line
         */
        @CanIgnoreReturnValue
        public Line with(String name, long value) {
            try {
                generator.writeNumberField(name, value);
            } catch (IOException impossible) {
                throw new UncheckedIOException(impossible);
            }
            return this;
        }

        /** Hands the line to the writer, or drops it where too many wait. */
        public void write() {
            try {
                long lost = dropped.getAndSet(0);
                if (lost > 0) {
                    generator.writeNumberField("linesDroppedBefore", lost);
                }
                generator.writeEndObject();
                generator.close();
                if (!queue.offer(text.toString())) {
                    dropped.addAndGet(lost + 1);
                }
            } catch (IOException impossible) {
                throw new UncheckedIOException(impossible);
            }
        }
    }

    private void writeLines() {
        try {
            while (true) {
                output.println(queue.take());
                if (queue.isEmpty()) {
                    output.flush();
                }
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }
}
