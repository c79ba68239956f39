package org.merlinwood.decision.idempotency;

import org.merlinwood.core.result.Failure;

/** The decision about a request with an idempotency key. */
public sealed interface KeyDecision {

    /** The request may run; no other request with this key has run, and none can run elsewhere. */
    record Run() implements KeyDecision {}

    /** The first request with this key is running; this request gets the same response. */
    record Join() implements KeyDecision {}

    /**
     * The first request with this key has run; its response is sent again.
     *
     * @param response the stored response
     */
    record Replay(StoredResponse response) implements KeyDecision {}

    /**
     * The request must not run now.
     *
     * @param failure the reason, with the execution state of the key
     */
    record Refuse(Failure failure) implements KeyDecision {}
}
