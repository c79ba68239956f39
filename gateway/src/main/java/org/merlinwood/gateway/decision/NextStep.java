package org.merlinwood.gateway.decision;

import org.merlinwood.core.result.ResultCode;

/** What follows the end of one call. */
public sealed interface NextStep {

    /** The answer goes to the caller as it is. */
    record Deliver() implements NextStep {}

    /** The request goes to another instance. */
    record Repeat() implements NextStep {}

    /**
     * The caller gets a failure of this entry.
     *
     * @param code the result code; says whether the request may have run
     */
    record Fail(ResultCode code) implements NextStep {}
}
