package org.merlinwood.gateway.decision;

import org.merlinwood.core.result.Failure;

/** How one call to an instance ended, as far as the course of the request depends on it. */
public sealed interface AttemptOutcome {

    /**
     * The instance answered whole, signed, for this attempt.
     *
     * @param status HTTP status
     */
    record Answered(int status) implements AttemptOutcome {}

    /**
     * The instance states that it has not run the request.
     *
     * @param status HTTP status
     */
    record Declined(int status) implements AttemptOutcome {}

    /**
     * Nothing reached the instance.
     *
     * @param failure what failed
     */
    record Unreached(Failure failure) implements AttemptOutcome {}

    /**
     * The request may have run; there is no whole answer.
     *
     * @param failure what failed
     */
    record Broken(Failure failure) implements AttemptOutcome {}
}
