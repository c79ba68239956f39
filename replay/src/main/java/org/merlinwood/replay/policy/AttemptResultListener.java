package org.merlinwood.replay.policy;

/** Receives the outcome of an attempt. Called exactly once. */
@FunctionalInterface
public interface AttemptResultListener {

    /** Value of {@code retryAfterMillis} if no retry time is stated. */
    long NO_RETRY_AFTER = -1;

    /**
     * Called when the attempt has ended.
     *
     * @param outcome the outcome
     * @param retryAfterMillis delay after which the caller may retry, in milliseconds, or {@link #NO_RETRY_AFTER}
     */
    void onEnded(RunOutcome outcome, long retryAfterMillis);
}
