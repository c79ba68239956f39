package org.merlinwood.gateway.decision;

import java.util.function.BooleanSupplier;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.route.Route;

/** Decides whether a request goes to another instance after a call ended. Stateless. */
public final class RetryPolicy {

    /** Instances that one request may fail to reach before it is refused; each costs one connection attempt. */
    static final int MAXIMUM_UNREACHED = 3;

    private static final int FIRST_SERVER_ERROR = 500;

    private RetryPolicy() {}

    /**
     * Decides.
     *
     * @param outcome how the call ended
     * @param route the route of the request
     * @param sent instances that the request reached or may have reached, this one included
     * @param unreached instances that it did not reach
     * @param allowance takes the right to a repeat; asked only where everything else allows one
     * @return what follows
     */
    public static NextStep decide(
            AttemptOutcome outcome, Route route, int sent, int unreached, BooleanSupplier allowance) {
        boolean attemptLeft = sent < route.maximumAttempts();
        return switch (outcome) {
            case AttemptOutcome.Answered answered -> {
                boolean repeat = answered.status() >= FIRST_SERVER_ERROR
                        && route.repeatable()
                        && attemptLeft
                        && allowance.getAsBoolean();
                yield repeat ? new NextStep.Repeat() : new NextStep.Deliver();
            }
            case AttemptOutcome.Declined declined ->
                attemptLeft && allowance.getAsBoolean()
                        ? new NextStep.Repeat()
                        : new NextStep.Fail(ResultCode.NO_CAPACITY);
            case AttemptOutcome.Unreached none ->
                unreached < MAXIMUM_UNREACHED ? new NextStep.Repeat() : new NextStep.Fail(ResultCode.NO_INSTANCE);
            case AttemptOutcome.Broken broken ->
                route.repeatable() && attemptLeft && allowance.getAsBoolean()
                        ? new NextStep.Repeat()
                        : new NextStep.Fail(broken.failure().code());
        };
    }
}
