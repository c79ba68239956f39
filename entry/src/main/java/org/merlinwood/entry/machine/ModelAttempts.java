package org.merlinwood.entry.machine;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.entry.machine.ModelState.Attempt;

/**
 * The attempts of one model request: places and numbers them, within the limits on attempts, reconnections, retries and
 * waits. Not thread-safe: used by one state machine.
 */
final class ModelAttempts {

    /** Wait between two attempts to place a response that has started. */
    static final long INSTANCE_POLL_INTERVAL_MILLIS = 250;

    /** Maximum number of grants that one request may request. */
    private static final int MAXIMUM_ATTEMPTS = 12;

    /** Resumptions of one response that do not use the retry budget. */
    private static final int FREE_RESUMPTIONS = 3;

    /** Total time that a response that has started waits for an instance. */
    private static final long MAXIMUM_INSTANCE_WAIT_MILLIS = 3_000;

    private final Placement placement;
    private final RefusalSummary refusals;
    private final Map<InstanceName, Integer> reconnections = new HashMap<>();
    private int attempts;
    private int resumptions;
    private int connectFailures;
    private long instanceWaitMillis;

    /** Whether an attempt uses the retry budget. */
    enum Charge {
        /** Not charged: the first attempt of its kind, or a free resumption of a response that has started. */
        FREE,
        /** Charged to the retry budget. */
        BUDGET
    }

    /**
     * Creates the attempts of a request that has none.
     *
     * @param placement placement and retry decisions
     * @param refusals the refusals of this request so far; determine the failure if no attempt can be placed
     */
    ModelAttempts(Placement placement, RefusalSummary refusals) {
        this.placement = placement;
        this.refusals = refusals;
    }

    /**
     * Places another attempt.
     *
     * @param executionState what is known about the execution of the request so far
     * @return the attempt, or the failure to report if no instance, no attempt or no retry is left
     */
    Either<Failure, Attempt> place(
            InstanceRole role, Set<InstanceName> excluded, Charge charge, ExecutionState executionState) {
        Optional<Instance> instance = hasAttemptsLeft() ? placement.place(role, excluded) : Optional.empty();
        if (instance.isEmpty()) {
            return Either.left(refusals.noInstanceLeft(executionState));
        }
        if (charge == Charge.BUDGET && !placement.tryRetry()) {
            return Either.left(refusals.retryBudgetExhausted(executionState));
        }
        return Either.right(new Attempt(++attempts, instance.get()));
    }

    /** Returns another attempt at the instance of an attempt whose connection ended. */
    Attempt reconnect(Attempt lost) {
        return new Attempt(++attempts, lost.instance());
    }

    /**
     * Allows one more connection to the same instance, since a network device in between may have dropped the
     * connection. After an execute message was sent, more reconnections are allowed.
     */
    boolean mayReconnect(Attempt attempt, Failure failure, ExecutionState executionState) {
        int allowedReconnections = executionState == ExecutionState.NOT_RUN ? 1 : FREE_RESUMPTIONS;
        return RefusalSummary.isConnectionEnd(failure)
                && hasAttemptsLeft()
                && reconnections.merge(attempt.instance().name(), 1, Integer::sum) <= allowedReconnections;
    }

    /**
     * Returns the charge of the next retry. The first resumptions of a response are free: the caller already has a part
     * of it, and their number is bounded.
     */
    Charge retryCharge() {
        boolean isFree = resumptions > 0 && resumptions <= FREE_RESUMPTIONS;
        return isFree ? Charge.FREE : Charge.BUDGET;
    }

    /** Records that a response that has started is to be resumed. */
    void recordResumption() {
        resumptions++;
    }

    /** Records that a sidecar could not be reached before it granted an attempt. */
    void recordUnreachable(Failure failure) {
        connectFailures += RefusalSummary.isConnectionEnd(failure) ? 0 : 1;
    }

    /**
     * Takes one wait of {@value #INSTANCE_POLL_INTERVAL_MILLIS} milliseconds from the time that a response that has
     * started may wait for an instance.
     *
     * @return false if no time or no attempt is left
     */
    boolean tryWait() {
        if (!hasAttemptsLeft() || instanceWaitMillis >= MAXIMUM_INSTANCE_WAIT_MILLIS) {
            return false;
        }
        instanceWaitMillis += INSTANCE_POLL_INTERVAL_MILLIS;
        return true;
    }

    /** Failed connection attempts are not counted once a started response has waited for an instance. */
    private boolean hasAttemptsLeft() {
        int uncounted = instanceWaitMillis > 0 ? connectFailures : 0;
        return attempts - uncounted < MAXIMUM_ATTEMPTS;
    }
}
