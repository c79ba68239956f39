package org.merlinwood.decision.idempotency;

/**
 * A non-idempotent call that is to run at most once.
 *
 * @param key its key
 * @param fingerprint of what it would execute
 */
public record KeyedRequest(ScopedKey key, Fingerprint fingerprint) {}
