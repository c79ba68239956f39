package org.merlinwood.replay.policy;

/** Is told how a send ended, exactly once. */
@FunctionalInterface
public interface RunListener {

    /** Where a refusal names no time to come back. */
    long NO_TIME = -1;

    /**
     * The send ended.
     *
     * @param outcome how
     * @param comeBackMillis when to come back, in milliseconds, or {@link #NO_TIME}
     */
    void ended(RunOutcome outcome, long comeBackMillis);
}
