package org.merlinwood.decision.idempotency;

import java.util.Optional;

/**
 * What one key of a table stands for, as it is handed over. Immutable.
 *
 * @param key the key
 * @param fingerprint of what was executed
 * @param state what is known
 * @param ageMillis milliseconds since it was settled
 * @param response the answer, where the state is {@link KeyState#RAN}
 */
public record KeyTableEntry(
        ScopedKey key, Fingerprint fingerprint, KeyState state, long ageMillis, Optional<StoredResponse> response) {}
