package org.merlinwood.decision.idempotency;

import org.merlinwood.core.result.Failure;

/** What becomes of a call with a key. */
public sealed interface KeyDecision {

    /** It may run; nothing with this key has run or can run elsewhere. */
    record Run() implements KeyDecision {}

    /** The first call with this key runs; this one gets the same answer. */
    record Join() implements KeyDecision {}

    /**
     * The first call has run; its answer is given again.
     *
     * @param response the answer
     */
    record Replay(StoredResponse response) implements KeyDecision {}

    /**
     * It does not run now.
     *
     * @param failure why, and what is known about the key
     */
    record Refuse(Failure failure) implements KeyDecision {}
}
