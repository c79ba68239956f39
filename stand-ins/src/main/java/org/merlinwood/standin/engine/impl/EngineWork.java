package org.merlinwood.standin.engine.impl;

import java.util.concurrent.atomic.AtomicBoolean;
import org.merlinwood.standin.engine.EngineRun;

/** One request with memory reserved from its admission to its end. Thread-safe; only the first end has an effect. */
public final class EngineWork {

    private final EngineRun run;
    private final WorkRegistry registry;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile int tokens;
    private volatile Runnable onEnd = () -> {};

    EngineWork(EngineRun run, WorkRegistry registry) {
        this.run = run;
        this.registry = registry;
    }

    /** Returns the run as recorded at its start. */
    public EngineRun run() {
        return run;
    }

    /** Returns whether the work has ended and its memory is released. */
    public boolean isEnded() {
        return ended.get();
    }

    /** Returns the number of tokens computed or produced so far. */
    public int tokens() {
        return tokens;
    }

    /** Adds to the number of tokens computed or produced. */
    @SuppressWarnings("NonAtomicVolatileUpdate") // only one thread at a time computes a request
    public void addTokens(int count) {
        tokens += count;
    }

    /** Sets the action to run when the work ends, replacing an earlier one. Runs it at once if the work has ended. */
    public void onEnd(Runnable action) {
        onEnd = action;
        if (ended.get()) {
            action.run();
        }
    }

    /**
     * Ends the work, releases its memory and runs the action set by {@link #onEnd}.
     *
     * @param outcome how the work ended
     * @return false if the work had already ended
     */
    public boolean end(EngineRun.Outcome outcome) {
        if (!ended.compareAndSet(false, true)) {
            return false;
        }
        registry.recordEnd(this, outcome);
        onEnd.run();
        return true;
    }
}
