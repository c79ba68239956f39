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
 * Writes one JSON object per line for each decision. Thread-safe; never blocks the calling thread.
 *
 * <p>A daemon thread writes the lines from a bounded queue. If the output is slower than the decisions, lines are
 * dropped while the queue is full, and the next queued line contains the number of dropped lines.
 */
public final class DecisionLog {

    /** Capacity of the queue; enough for several seconds of a busy entry. */
    private static final int MAXIMUM_QUEUED_LINES = 4_096;

    private static final JsonFactory JSON = new JsonFactory();

    private final String process;
    private final MillisClock clock;
    private final PrintStream output;
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAXIMUM_QUEUED_LINES);
    private final AtomicLong droppedLines = new AtomicLong();

    /**
     * Creates a log and starts its writer thread.
     *
     * @param process name of the process, written in every line
     * @param clock clock for the time of each line
     * @param output stream to which the lines are written
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
     * Starts a line. Nothing is written before {@link Line#write()}.
     *
     * @param decision short, stable name of the decision
     * @return the line, to which the inputs of the decision are added
     */
    public Line line(String decision) {
        return new Line(decision);
    }

    /** Builder of one line. Not thread-safe. */
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
            } catch (IOException exception) {
                throw new UncheckedIOException(exception);
            }
        }

        /**
         * Adds a text field.
         *
         * @param name name of the field
         * @param value value of the field
         * @return this line
         */
        @CanIgnoreReturnValue
        public Line with(String name, String value) {
            try {
                generator.writeStringField(name, value);
            } catch (IOException exception) {
                throw new UncheckedIOException(exception);
            }
            return this;
        }

        /**
         * Adds a number field.
         *
         * @param name name of the field, including the unit
         * @param value value of the field
         * @return this line
         */
        @CanIgnoreReturnValue
        public Line with(String name, long value) {
            try {
                generator.writeNumberField(name, value);
            } catch (IOException exception) {
                throw new UncheckedIOException(exception);
            }
            return this;
        }

        /** Queues the line for writing, or drops it if the queue is full. Called once. */
        public void write() {
            try {
                long droppedBefore = droppedLines.getAndSet(0);
                if (droppedBefore > 0) {
                    generator.writeNumberField("linesDroppedBefore", droppedBefore);
                }
                generator.writeEndObject();
                generator.close();
                if (!queue.offer(text.toString())) {
                    droppedLines.addAndGet(droppedBefore + 1);
                }
            } catch (IOException exception) {
                throw new UncheckedIOException(exception);
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
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
