package org.merlinwood.decision.grant.impl;

import java.util.Optional;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.grant.AttemptIdentity;
import org.merlinwood.decision.grant.GrantDemand;

/** Decides which demands are refused as soon as they arrive. Not thread-safe. */
public final class DemandRules {

    private final WaitingQueue queue;
    private final Capacity capacity;
    private final KnownAttempts attempts;
    private final RetryableFailures failures;
    private boolean draining;

    /**
     * Creates the rules of an instance that does not drain.
     *
     * @param queue the demands that wait
     * @param capacity free units and expected waits
     * @param attempts the attempts that are known already
     * @param failures creates the failures of refused demands
     */
    public DemandRules(WaitingQueue queue, Capacity capacity, KnownAttempts attempts, RetryableFailures failures) {
        this.queue = queue;
        this.capacity = capacity;
        this.attempts = attempts;
        this.failures = failures;
    }

    /**
     * Sets whether every demand is refused.
     *
     * @param isDraining true while the instance drains
     */
    public void draining(boolean isDraining) {
        draining = isDraining;
    }

    /**
     * Tells whether every demand is refused.
     *
     * @return true while the instance drains
     */
    public boolean draining() {
        return draining;
    }

    /**
     * Decides on a demand that is not in the queue.
     *
     * @param demand the demand
     * @return the failure, or empty if the demand may wait in the queue
     */
    public Optional<Failure> refusalOf(GrantDemand demand) {
        if (draining) {
            return Optional.of(failures.draining(demand));
        }
        if (capacity.totalUnits() == 0) {
            return Optional.of(
                    failures.soon(ResultCode.NOT_READY, "the capacity of the upstream is not known yet", demand));
        }
        if (demand.units() > capacity.totalUnits()) {
            return Optional.of(Failure.of(
                    ResultCode.PROMPT_TOO_LONG,
                    "the request needs " + demand.units() + " capacity units, but the total capacity is "
                            + capacity.totalUnits()));
        }
        if (attempts.contains(demand.attempt())) {
            return Optional.of(
                    Failure.of(ResultCode.PROTOCOL_VIOLATION, "a grant for this attempt was requested twice"));
        }
        if (isOutdated(demand.attempt())) {
            return Optional.of(Failure.of(
                    ResultCode.SUPERSEDED, "a grant for a later attempt of the request was already requested"));
        }
        return refusalForWait(demand);
    }

    private Optional<Failure> refusalForWait(GrantDemand demand) {
        long expected = capacity.expectedWaitMillis(demand);
        if (expected > demand.waitMillis()) {
            return Optional.of(failures.noCapacity(demand, 0, expected));
        }
        boolean lastRanksAtLeastAsHigh = queue.last()
                .map(last -> last.demand().priority() <= demand.priority())
                .orElse(false);
        if (queue.isFull() && lastRanksAtLeastAsHigh) {
            return Optional.of(failures.noCapacity(demand, 0, expected));
        }
        return Optional.empty();
    }

    private boolean isOutdated(AttemptIdentity attempt) {
        return attempts.of(attempt.request()).stream().anyMatch(other -> other.attempt() > attempt.attempt());
    }
}
