package org.merlinwood.gateway.decision;

import java.util.function.BooleanSupplier;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.route.Route;

/** Decides whether a request is retried at another instance after an attempt has ended. Stateless. */
public final class RetryPolicy {

    /** Number of instances that a request may fail to reach before it fails; each costs one connection attempt. */
    static final int MAXIMUM_UNREACHED = 3;

    private static final int MINIMUM_SERVER_ERROR_STATUS = 500;

    private RetryPolicy() {}

    /**
     * Decides what follows an attempt.
     *
     * @param outcome outcome of the attempt
     * @param route route of the request
     * @param sentAttempts number of attempts that reached or may have reached an instance, this one included
     * @param unreachedAttempts number of attempts that did not reach an instance, this one included
     * @param retryAllowance consumes one retry of the allowance and returns whether there was one; called only if all
     *     other conditions for a retry hold
     * @return the next step
     */
    public static NextStep decide(
            AttemptOutcome outcome,
            Route route,
            int sentAttempts,
            int unreachedAttempts,
            BooleanSupplier retryAllowance) {
        boolean attemptsLeft = sentAttempts < route.maximumAttempts();
        return switch (outcome) {
            case AttemptOutcome.Answered answered -> {
                boolean retry = answered.status() >= MINIMUM_SERVER_ERROR_STATUS
                        && route.repeatable()
                        && attemptsLeft
                        && retryAllowance.getAsBoolean();
                yield retry ? new NextStep.Repeat() : new NextStep.Deliver();
            }
            case AttemptOutcome.Declined declined ->
                attemptsLeft && retryAllowance.getAsBoolean()
                        ? new NextStep.Repeat()
                        : new NextStep.Fail(ResultCode.NO_CAPACITY);
            case AttemptOutcome.Unreached unreached ->
                unreachedAttempts < MAXIMUM_UNREACHED
                        ? new NextStep.Repeat()
                        : new NextStep.Fail(ResultCode.NO_INSTANCE);
            case AttemptOutcome.Broken broken ->
                route.repeatable() && attemptsLeft && retryAllowance.getAsBoolean()
                        ? new NextStep.Repeat()
                        : new NextStep.Fail(broken.failure().code());
        };
    }
}
