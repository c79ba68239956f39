package org.merlinwood.standin.engine.impl;

import java.util.Comparator;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.PriorityBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.merlinwood.standin.impl.Sleep;

/** Computes prompts one after another, lowest priority number first. Thread-safe; one thread until closed. */
public final class PrefillQueue implements AutoCloseable {

    private static final int CHUNK_TOKENS = 512;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final PriorityBlockingQueue<Job> jobs = new PriorityBlockingQueue<>(
            16, Comparator.comparingInt(Job::priority).thenComparingLong(Job::sequence));
    private final AtomicLong sequences = new AtomicLong();
    private final AtomicLong queuedTokens = new AtomicLong();
    private final double tokensPerSecond;
    private final EngineFaults faults;
    private final Thread thread;

    /**
     * Creates an empty queue and starts its thread.
     *
     * @param tokensPerSecond rate of computing
     * @param faults may slow it down
     */
    public PrefillQueue(double tokensPerSecond, EngineFaults faults) {
        this.tokensPerSecond = tokensPerSecond;
        this.faults = faults;
        this.thread = Thread.ofPlatform().daemon().name("engine-prefill").start(this::run);
    }

    /**
     * Computes tokens when their turn comes, and waits for that.
     *
     * @param work the work, whose end stops the computing
     * @param tokens how many tokens
     * @param priority 0 comes first
     * @return true if all were computed, false if the work ended before
     * @throws InterruptedException if the engine is being closed
     */
    public boolean compute(EngineWork work, int tokens, int priority) throws InterruptedException {
        Job job = new Job(work, tokens, priority, sequences.incrementAndGet(), new CompletableFuture<>());
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

    /** Returns the tokens that wait or are being computed. */
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
        int left = job.tokens;
        try {
            while (left > 0 && !job.work.isEnded()) {
                int chunk = Math.min(left, CHUNK_TOKENS);
                Sleep.millis(Math.round(chunk * MILLIS_PER_SECOND / tokensPerSecond * faults.slowFactor()));
                left -= chunk;
                queuedTokens.addAndGet(-chunk);
                job.work.addTokens(job.work.run().kind().equals(EngineKinds.PREFILL) ? chunk : 0);
            }
            return left == 0 && !job.work.isEnded();
        } finally {
            queuedTokens.addAndGet(-left);
        }
    }

    private record Job(EngineWork work, int tokens, int priority, long sequence, CompletableFuture<Boolean> done) {}
}
