package org.merlinwood.standin.engine.impl;

import java.util.concurrent.atomic.AtomicBoolean;
import org.merlinwood.standin.engine.EngineRun;

/** One call that holds memory from its admission to its end. Thread-safe; the first end wins. */
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

    /** Returns the run as it started. */
    public EngineRun run() {
        return run;
    }

    /** Returns whether the memory is free again. */
    public boolean isEnded() {
        return ended.get();
    }

    /** Returns the tokens computed or produced so far. */
    public int tokens() {
        return tokens;
    }

    /** Counts tokens that were computed or produced. */
    @SuppressWarnings("NonAtomicVolatileUpdate") // one thread computes a call
    public void addTokens(int count) {
        tokens += count;
    }

    /** Sets what happens once the work has ended; at once if it has. */
    public void onEnd(Runnable action) {
        onEnd = action;
        if (ended.get()) {
            action.run();
        }
    }

    /**
     * Ends the work and frees its memory.
     *
     * @param outcome how it ended
     * @return false if it had ended before
     */
    public boolean end(EngineRun.Outcome outcome) {
        if (!ended.compareAndSet(false, true)) {
            return false;
        }
        registry.ended(this, outcome);
        onEnd.run();
        return true;
    }
}
