package org.merlinwood.decision.idempotency;

import java.util.Optional;

/**
 * The entry of one key of a table, as it is handed over to another process. Immutable.
 *
 * @param key the key
 * @param fingerprint the fingerprint of the request
 * @param state the execution state
 * @param ageMillis milliseconds since the request completed, or since it started if it was still running
 * @param response the stored response if the state is {@link KeyState#RAN}, else empty
 */
public record KeyTableEntry(
        ScopedKey key, Fingerprint fingerprint, KeyState state, long ageMillis, Optional<StoredResponse> response) {}
