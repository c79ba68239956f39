package org.merlinwood.decision.idempotency;

/**
 * A non-idempotent request that must run at most once. Immutable.
 *
 * @param key the key of the request
 * @param fingerprint the fingerprint of what it would execute
 */
public record KeyedRequest(ScopedKey key, Fingerprint fingerprint) {}
