package org.merlinwood.standin.engine.impl;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Advances all running streams by one token in each step, on a thread that runs until closed. Thread-safe. */
public final class ContinuousBatch implements AutoCloseable {

    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final List<DecodeStream> streams = new CopyOnWriteArrayList<>();
    private final Object streamAdded = new Object();
    private final double baseMillis;
    private final double perStreamMillis;
    private final EngineFaults faults;
    private final Runnable onCrash;
    private final Thread thread;

    /**
     * Creates an empty batch and starts its thread.
     *
     * @param baseMillis base duration of a step, in milliseconds
     * @param perStreamMillis time that each stream adds, in milliseconds
     * @param faults faults of the engine, which can slow down the steps
     * @param onCrash crashes the engine; called when a stream has a crash marker
     */
    public ContinuousBatch(double baseMillis, double perStreamMillis, EngineFaults faults, Runnable onCrash) {
        this.baseMillis = baseMillis;
        this.perStreamMillis = perStreamMillis;
        this.faults = faults;
        this.onCrash = onCrash;
        this.thread = Thread.ofPlatform().daemon().name("engine-step").start(this::run);
    }

    /**
     * Adds a stream, which is advanced from the next step on.
     *
     * @param stream the stream
     */
    public void add(DecodeStream stream) {
        synchronized (streamAdded) {
            streams.add(stream);
            streamAdded.notifyAll();
        }
    }

    /** Returns the number of running streams. */
    public int running() {
        return streams.size();
    }

    @Override
    public void close() {
        thread.interrupt();
    }

    private void run() {
        try {
            while (true) {
                awaitStreams();
                TimeUnit.NANOSECONDS.sleep(stepNanos());
                step();
            }
        } catch (InterruptedException exception) {
            streams.clear();
        }
    }

    private void awaitStreams() throws InterruptedException {
        synchronized (streamAdded) {
            while (streams.isEmpty()) {
                streamAdded.wait();
            }
        }
    }

    private long stepNanos() {
        return (long) ((baseMillis + perStreamMillis * streams.size()) * faults.slowFactor() * NANOS_PER_MILLI);
    }

    private void step() {
        for (DecodeStream stream : streams) {
            if (stream.isCrashing() && !stream.work().isEnded()) {
                onCrash.run();
                return;
            }
            stream.advance();
        }
        streams.removeIf(stream -> stream.work().isEnded());
    }
}
