package org.merlinwood.entry.machine;

import java.util.List;
import org.merlinwood.configuration.inventory.Instance;

/** State of a model request. Immutable. The simple names appear in the state dump. */
sealed interface ModelState {

    /** Returns the attempts for which a sidecar may still have a grant or running work. */
    default List<Attempt> openAttempts() {
        return List.of();
    }

    /** No grant has been requested yet. */
    record Created() implements ModelState {}

    /** Waiting for a decode grant. */
    record AskingDecode(Attempt decode) implements ModelState {
        @Override
        public List<Attempt> openAttempts() {
            return List.of(decode);
        }
    }

    /** Has a decode grant and is waiting for a prefill grant. */
    record AskingPrefill(Attempt decode, Attempt prefill) implements ModelState {
        @Override
        public List<Attempt> openAttempts() {
            return List.of(decode, prefill);
        }
    }

    /** Has a decode grant while the prefill runs. */
    record Prefilling(Attempt decode, Attempt prefill) implements ModelState {
        @Override
        public List<Attempt> openAttempts() {
            return List.of(decode, prefill);
        }
    }

    /** The decode engine is generating the response. */
    record Decoding(Attempt decode) implements ModelState {
        @Override
        public List<Attempt> openAttempts() {
            return List.of(decode);
        }
    }

    /** Waiting for the higher revisions that a sidecar reported. */
    record AwaitingRevisions() implements ModelState {}

    /** No instance can continue a response that has started; placement is retried after a short wait. */
    record AwaitingInstance() implements ModelState {}

    /** The request is complete. */
    record Settled() implements ModelState {}

    /** One requested grant. */
    record Attempt(int attempt, Instance instance) {}
}
