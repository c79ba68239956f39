package org.merlinwood.gateway.decision;

import org.merlinwood.core.result.ResultCode;

/** What an entry does after an attempt has ended. */
public sealed interface NextStep {

    /** Forwards the response to the caller unchanged. */
    record Deliver() implements NextStep {}

    /** Retries the request, normally at another instance. */
    record Repeat() implements NextStep {}

    /**
     * Responds to the caller with a failure of this entry.
     *
     * @param code result code; states whether the request may have run
     */
    record Fail(ResultCode code) implements NextStep {}
}
