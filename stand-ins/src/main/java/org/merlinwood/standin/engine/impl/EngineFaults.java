package org.merlinwood.standin.engine.impl;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

/** Faults of an engine that tests switch on through the administration port. Thread-safe. */
public final class EngineFaults {

    /** A fault of a single decode response. */
    public enum AnswerFault {
        /** No fault. */
        NONE,
        /** The connection is aborted after some tokens. */
        CUT,
        /** The body ends regularly after some tokens, but its last line is missing. */
        TRUNCATE,
        /** A line that is not JSON is sent after some tokens and ends the body. */
        GARBAGE
    }

    private static final int TOKENS_BEFORE_FAULT = 3;

    private final AtomicReference<AnswerFault> nextFault = new AtomicReference<>(AnswerFault.NONE);
    private volatile double slowFactor = 1;
    private boolean silent;

    /** Sets the fault of the next response. */
    public void nextFault(AnswerFault fault) {
        nextFault.set(fault);
    }

    /** Returns the fault of the next response and resets it to {@link AnswerFault#NONE}. */
    public AnswerFault takeNextFault() {
        return nextFault.getAndUpdate(constant(AnswerFault.NONE));
    }

    /** Returns the number of tokens that a response contains before its fault. */
    public int tokensBeforeFault() {
        return TOKENS_BEFORE_FAULT;
    }

    /** Sets the factor by which decode steps and prefills are slowed down; 1 is normal speed. */
    public void slowFactor(double factor) {
        slowFactor = factor;
    }

    /** Returns the factor by which decode steps and prefills are slowed down. */
    public double slowFactor() {
        return slowFactor;
    }

    /** Stops or resumes sending on all connections. */
    public synchronized void silent(boolean value) {
        silent = value;
        notifyAll();
    }

    /** Blocks while the engine is silent. */
    public synchronized void awaitNotSilent() throws InterruptedException {
        while (silent) {
            wait();
        }
    }

    private static <T> UnaryOperator<T> constant(T value) {
        return ignored -> value;
    }
}
