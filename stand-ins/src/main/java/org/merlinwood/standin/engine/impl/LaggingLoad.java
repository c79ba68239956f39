package org.merlinwood.standin.engine.impl;

import java.util.ArrayDeque;
import java.util.function.Supplier;
import org.merlinwood.core.time.MillisClock;

/** Delays the reported load of an engine, from samples taken by {@link #sample()}. Thread-safe. */
public final class LaggingLoad {

    /** Interval at which {@link #sample()} is to be called, in milliseconds. */
    public static final long SAMPLE_MILLIS = 20;

    private final ArrayDeque<Sample> samples = new ArrayDeque<>();
    private final Supplier<EngineLoad> source;
    private final MillisClock clock;
    private final long lagMillis;

    /**
     * Creates the object and takes the first sample.
     *
     * @param source supplies the current load
     * @param clock time source
     * @param lagMillis age of the returned load, in milliseconds
     */
    public LaggingLoad(Supplier<EngineLoad> source, MillisClock clock, long lagMillis) {
        this.source = source;
        this.clock = clock;
        this.lagMillis = lagMillis;
        sample();
    }

    /** Records the current load and drops samples that are no longer needed. */
    public synchronized void sample() {
        long now = clock.monotonicMillis();
        samples.addLast(new Sample(now, source.get()));
        while (samples.size() > 1 && secondSample().atMillis <= now - lagMillis) {
            samples.removeFirst();
        }
    }

    /**
     * Returns the load at the time {@code lagMillis} ago.
     *
     * @return the latest sample that is old enough, or the first one if none is
     */
    public synchronized EngineLoad delayedLoad() {
        return samples.getFirst().load;
    }

    private Sample secondSample() {
        return samples.stream().skip(1).findFirst().orElseThrow();
    }

    /**
     * Load of an engine.
     *
     * @param freePieces free pieces of memory
     * @param totalPieces all pieces of memory
     * @param running number of streams in the batch
     * @param queuedTokens prompt tokens that are queued or not yet computed
     */
    public record EngineLoad(int freePieces, int totalPieces, int running, long queuedTokens) {}

    private record Sample(long atMillis, EngineLoad load) {}
}
