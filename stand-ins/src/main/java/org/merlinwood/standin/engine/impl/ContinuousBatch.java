package org.merlinwood.standin.engine.impl;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Advances all streams by one token a step. Thread-safe; one thread until closed. */
public final class ContinuousBatch implements AutoCloseable {

    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final List<DecodeStream> streams = new CopyOnWriteArrayList<>();
    private final Object arrival = new Object();
    private final double baseMillis;
    private final double perStreamMillis;
    private final EngineFaults faults;
    private final Runnable onCrash;
    private final Thread thread;

    /**
     * Creates an empty batch and starts its thread.
     *
     * @param baseMillis time of a step without streams, in milliseconds
     * @param perStreamMillis time that each stream adds, in milliseconds
     * @param faults may slow it down
     * @param onCrash called when a stream ends the engine
     */
    public ContinuousBatch(double baseMillis, double perStreamMillis, EngineFaults faults, Runnable onCrash) {
        this.baseMillis = baseMillis;
        this.perStreamMillis = perStreamMillis;
        this.faults = faults;
        this.onCrash = onCrash;
        this.thread = Thread.ofPlatform().daemon().name("engine-step").start(this::run);
    }

    /**
     * Adds a stream, which takes part from the next step on.
     *
     * @param stream the stream
     */
    public void add(DecodeStream stream) {
        synchronized (arrival) {
            streams.add(stream);
            arrival.notifyAll();
        }
    }

    /** Returns how many streams run. */
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
        synchronized (arrival) {
            while (streams.isEmpty()) {
                arrival.wait();
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
