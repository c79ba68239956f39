package org.merlinwood.decision.grant.impl;

import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.grant.GrantDemand;
import org.merlinwood.decision.retry.RetryDelay;

/** Creates the failures of demands that may be repeated, with the time after which to repeat them. Stateless. */
public final class RetryableFailures {

    private static final long DEFAULT_RETRY_MILLIS = 200;

    private final RetryDelay retryDelay;

    /**
     * Creates the failures.
     *
     * @param retryDelay computes the retry delays
     */
    public RetryableFailures(RetryDelay retryDelay) {
        this.retryDelay = retryDelay;
    }

    /**
     * Returns the failure of a demand for which there is no capacity in time.
     *
     * @param demand the demand
     * @param waitedMillis how long it has waited, in milliseconds
     * @param expectedMillis expected further wait, in milliseconds
     * @return the failure
     */
    public Failure noCapacity(GrantDemand demand, long waitedMillis, long expectedMillis) {
        return Failure.retryable(
                ResultCode.NO_CAPACITY,
                "the wait of %d ms so far and %d ms expected exceeds the limit of %d ms"
                        .formatted(waitedMillis, expectedMillis, demand.waitMillis()),
                retryDelay.retryAfterMillis(expectedMillis, demand.priority()));
    }

    /**
     * Returns the failure of a demand at a draining instance.
     *
     * @param demand the demand
     * @return the failure
     */
    public Failure draining(GrantDemand demand) {
        return soon(ResultCode.DRAINING, "the instance is draining and accepts no new requests", demand);
    }

    /**
     * Returns a failure of a demand that may be repeated soon.
     *
     * @param code result code
     * @param detail cause
     * @param demand the demand
     * @return the failure
     */
    public Failure soon(ResultCode code, String detail, GrantDemand demand) {
        return Failure.retryable(code, detail, retryDelay.retryAfterMillis(DEFAULT_RETRY_MILLIS, demand.priority()));
    }
}
