package org.merlinwood.standin.engine.impl;

import java.util.Comparator;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.PriorityBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.merlinwood.standin.impl.Sleep;

/** Computes one prompt at a time, lowest priority number first, on a thread that runs until closed. Thread-safe. */
public final class PrefillQueue implements AutoCloseable {

    private static final int CHUNK_TOKENS = 512;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final PriorityBlockingQueue<Job> jobs = new PriorityBlockingQueue<>(
            16, Comparator.comparingInt(Job::priority).thenComparingLong(Job::sequence));
    private final AtomicLong lastSequence = new AtomicLong();
    private final AtomicLong queuedTokens = new AtomicLong();
    private final double tokensPerSecond;
    private final EngineFaults faults;
    private final Thread thread;

    /**
     * Creates an empty queue and starts its thread.
     *
     * @param tokensPerSecond prefill rate, in tokens per second
     * @param faults faults of the engine, which can slow down the computation
     */
    public PrefillQueue(double tokensPerSecond, EngineFaults faults) {
        this.tokensPerSecond = tokensPerSecond;
        this.faults = faults;
        this.thread = Thread.ofPlatform().daemon().name("engine-prefill").start(this::run);
    }

    /**
     * Queues tokens and blocks until they are computed. Jobs of the same priority are computed first in, first out.
     *
     * @param work the work that needs the tokens; its end stops the computation
     * @param tokens number of tokens
     * @param priority priority of the request; lower numbers are computed first
     * @return true if all tokens were computed, false if the work ended before
     * @throws InterruptedException if the engine is being closed
     */
    public boolean compute(EngineWork work, int tokens, int priority) throws InterruptedException {
        Job job = new Job(work, tokens, priority, lastSequence.incrementAndGet(), new CompletableFuture<>());
        queuedTokens.addAndGet(tokens);
        jobs.add(job);
        work.onEnd(() -> job.done.complete(false));
        try {
            return job.done.get();
        } catch (ExecutionException exception) {
            return false;
        } finally {
            work.onEnd(() -> {});
        }
    }

    /** Returns the number of tokens that are queued or not yet computed. */
    public long queuedTokens() {
        return queuedTokens.get();
    }

    @Override
    public void close() {
        thread.interrupt();
        jobs.forEach(job -> job.done.complete(false));
    }

    private void run() {
        try {
            while (true) {
                Job job = jobs.take();
                job.done.complete(computeAll(job));
            }
        } catch (InterruptedException exception) {
            jobs.forEach(job -> job.done.complete(false));
        }
    }

    private boolean computeAll(Job job) throws InterruptedException {
        int remaining = job.tokens;
        try {
            while (remaining > 0 && !job.work.isEnded()) {
                int chunk = Math.min(remaining, CHUNK_TOKENS);
                Sleep.millis(Math.round(chunk * MILLIS_PER_SECOND / tokensPerSecond * faults.slowFactor()));
                remaining -= chunk;
                queuedTokens.addAndGet(-chunk);
                job.work.addTokens(job.work.run().kind().equals(EngineKinds.PREFILL) ? chunk : 0);
            }
            return remaining == 0 && !job.work.isEnded();
        } finally {
            queuedTokens.addAndGet(-remaining);
        }
    }

    private record Job(EngineWork work, int tokens, int priority, long sequence, CompletableFuture<Boolean> done) {}
}
