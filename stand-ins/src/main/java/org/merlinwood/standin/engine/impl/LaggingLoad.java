package org.merlinwood.standin.engine.impl;

import java.util.ArrayDeque;
import java.util.function.Supplier;
import org.merlinwood.core.time.MillisClock;

/** Shows load as it was some time ago. Thread-safe; sampled by {@link #sample()}. */
public final class LaggingLoad {

    /** Milliseconds between two samples. */
    public static final long SAMPLE_MILLIS = 20;

    private final ArrayDeque<Sample> samples = new ArrayDeque<>();
    private final Supplier<EngineLoad> source;
    private final MillisClock clock;
    private final long lagMillis;

    /**
     * Creates a view with one sample.
     *
     * @param source the load as it is now
     * @param clock the clock
     * @param lagMillis how old the shown load is, in milliseconds
     */
    public LaggingLoad(Supplier<EngineLoad> source, MillisClock clock, long lagMillis) {
        this.source = source;
        this.clock = clock;
        this.lagMillis = lagMillis;
        sample();
    }

    /** Remembers the load as it is now. */
    public synchronized void sample() {
        long now = clock.monotonicMillis();
        samples.addLast(new Sample(now, source.get()));
        while (samples.size() > 1 && next().atMillis <= now - lagMillis) {
            samples.removeFirst();
        }
    }

    /**
     * Returns the load as it was.
     *
     * @return the load of some time ago
     */
    public synchronized EngineLoad shown() {
        return samples.getFirst().load;
    }

    private Sample next() {
        return samples.stream().skip(1).findFirst().orElseThrow();
    }

    /**
     * Load of an engine.
     *
     * @param freePieces pieces that are free
     * @param totalPieces all pieces
     * @param running streams in the batch
     * @param queuedTokens prompt tokens that wait or are being computed
     */
    public record EngineLoad(int freePieces, int totalPieces, int running, long queuedTokens) {}

    private record Sample(long atMillis, EngineLoad load) {}
}
