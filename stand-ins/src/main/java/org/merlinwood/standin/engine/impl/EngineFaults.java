package org.merlinwood.standin.engine.impl;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

/** Faults that tests switch on. Thread-safe. */
public final class EngineFaults {

    /** A fault of the next decode answer alone. */
    public enum AnswerFault {
        /** None. */
        NONE,
        /** The connection is cut after some tokens. */
        CUT,
        /** The answer ends regularly after some tokens, without its last line. */
        TRUNCATE,
        /** A line that is not JSON takes the place of a token. */
        GARBAGE
    }

    private static final int TOKENS_BEFORE_FAULT = 3;

    private final AtomicReference<AnswerFault> next = new AtomicReference<>(AnswerFault.NONE);
    private volatile double slowFactor = 1;
    private boolean silent;

    /** Sets the fault of the next answer. */
    public void next(AnswerFault fault) {
        next.set(fault);
    }

    /** Takes the fault of this answer. */
    public AnswerFault take() {
        return next.getAndUpdate(constant(AnswerFault.NONE));
    }

    /** Returns how many tokens an answer has before its fault. */
    public int tokensBeforeFault() {
        return TOKENS_BEFORE_FAULT;
    }

    /** Sets how many times slower everything is; 1 is normal. */
    public void slowFactor(double factor) {
        slowFactor = factor;
    }

    /** Returns how many times slower everything is. */
    public double slowFactor() {
        return slowFactor;
    }

    /** Makes the engine stop or resume sending on all connections. */
    public synchronized void silent(boolean value) {
        silent = value;
        notifyAll();
    }

    /** Waits while the engine is silent. */
    public synchronized void awaitAudible() throws InterruptedException {
        while (silent) {
            wait();
        }
    }

    private static <T> UnaryOperator<T> constant(T value) {
        return ignored -> value;
    }
}
