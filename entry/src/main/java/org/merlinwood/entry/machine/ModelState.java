package org.merlinwood.entry.machine;

import java.util.List;
import org.merlinwood.configuration.inventory.Instance;

/** Where a model request stands. Immutable. */
sealed interface ModelState {

    /** Returns the attempts that a sidecar may still hold something for. */
    default List<Attempt> openAttempts() {
        return List.of();
    }

    /** Nothing was asked for. */
    record Created() implements ModelState {}

    /** A decode grant is waited for. */
    record AskingDecode(Attempt decode) implements ModelState {
        @Override
        public List<Attempt> openAttempts() {
            return List.of(decode);
        }
    }

    /** The decode grant is held, a prefill grant is waited for. */
    record AskingPrefill(Attempt decode, Attempt prefill) implements ModelState {
        @Override
        public List<Attempt> openAttempts() {
            return List.of(decode, prefill);
        }
    }

    /** The decode grant is held, the prefill runs. */
    record Prefilling(Attempt decode, Attempt prefill) implements ModelState {
        @Override
        public List<Attempt> openAttempts() {
            return List.of(decode, prefill);
        }
    }

    /** The answer is generated. */
    record Decoding(Attempt decode) implements ModelState {
        @Override
        public List<Attempt> openAttempts() {
            return List.of(decode);
        }
    }

    /** A sidecar has higher revisions, which are waited for. */
    record AwaitingRevisions() implements ModelState {}

    /** No instance takes the rest of a begun answer; one is looked for again soon. */
    record AwaitingInstance() implements ModelState {}

    /** The terminal event was given. */
    record Settled() implements ModelState {}

    /** One grant that was asked for. */
    record Attempt(int attempt, Instance instance) {}
}
