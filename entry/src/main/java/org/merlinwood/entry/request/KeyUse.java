package org.merlinwood.entry.request;

import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.core.identity.InstanceName;

/**
 * How the idempotency key of a plain request determines the instances that may execute it, and how often. Immutable.
 */
public sealed interface KeyUse {

    /** The request is idempotent and needs no key: any instance may execute it, more than once. */
    record NotNeeded() implements KeyUse {}

    /**
     * A key chosen by the caller: only the home instance of the key may execute the request.
     *
     * @param key the key
     */
    record Own(IdempotencyKey key) implements KeyUse {}

    /**
     * A key that was minted for the caller earlier: only the instance named by the key may execute the request.
     *
     * @param key the key
     * @param instance the instance
     */
    record Minted(IdempotencyKey key, InstanceName instance) implements KeyUse {}

    /** The caller sent no key: one is minted for the chosen instance and used for at most one execution. */
    record MintedForRequest() implements KeyUse {}
}
