package org.merlinwood.gateway.front;

import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.decision.AttemptOutcome;
import org.merlinwood.gateway.decision.NextStep;
import org.merlinwood.gateway.decision.RetryClaim;
import org.merlinwood.gateway.decision.RetryPolicy;

/** Counts the attempts of one stream and decides whether another one may be sent. Used by the event loop alone. */
final class StreamRetries {

    private final RequestProcessor processor;

    /** Holds the retry of the next attempt, until that has or may have reached an instance. */
    private final RetryClaim claim;

    private int attemptsSent;
    private int unreachedAttempts;

    /**
     * Creates a count of 0.
     *
     * @param processor processes the request; gives its time, route and service
     */
    StreamRetries(RequestProcessor processor) {
        this.processor = processor;
        this.claim = new RetryClaim(processor.context.retryAllowance(), processor.service);
    }

    /** Returns the number of ended attempts that an instance received, or may have. */
    int attemptsSent() {
        return attemptsSent;
    }

    void countSent() {
        attemptsSent++;
    }

    void countUnreached() {
        unreachedAttempts++;
    }

    /** Records that the retry, if one is held, has or may have reached an instance. */
    void markUsed() {
        claim.markUsed();
    }

    /** Returns the retry, if one is held, since it will not be sent. */
    void giveBack() {
        claim.giveBack();
    }

    /**
     * Decides what follows an attempt. A retry is acquired only if its response could still reach the caller in time.
     *
     * @param outcome outcome of the attempt
     * @param openAttempts number of attempts that were sent and have not been counted
     * @return the next step
     */
    NextStep decide(AttemptOutcome outcome, int openAttempts) {
        return RetryPolicy.decide(
                outcome,
                processor.route,
                attemptsSent + openAttempts,
                unreachedAttempts,
                () -> processor.timeLeftMillis() > 0 && claim.tryAcquire());
    }

    /**
     * Decides what follows when an instance declines because the prefill result no longer exists: if the retry
     * allowance permits, the same instance is sent the request again and computes the prompt itself.
     */
    NextStep decideWithoutPrefillResult() {
        return claim.tryAcquire() ? new NextStep.Repeat() : new NextStep.Fail(ResultCode.TRANSFER_FAILED);
    }
}
