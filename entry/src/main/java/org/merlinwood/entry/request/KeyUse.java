package org.merlinwood.entry.request;

import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.core.identity.InstanceName;

/** Which instances may run a plain call, and how often. Immutable. */
public sealed interface KeyUse {

    /** The call is idempotent: any instance may run it, more than once. */
    record NotNeeded() implements KeyUse {}

    /**
     * The caller's own key: only its home may run it.
     *
     * @param key the key
     */
    record Own(IdempotencyKey key) implements KeyUse {}

    /**
     * A key minted for the caller before: only the instance that it names may run it.
     *
     * @param key the key
     * @param instance the instance
     */
    record Minted(IdempotencyKey key, InstanceName instance) implements KeyUse {}

    /** The caller sent none: one is minted for the instance that is chosen, and used for one execution at most. */
    record MintedForRequest() implements KeyUse {}
}
