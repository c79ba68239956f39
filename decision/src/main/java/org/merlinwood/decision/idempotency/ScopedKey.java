package org.merlinwood.decision.idempotency;

import java.util.Objects;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.core.identity.IdempotencyKey;

/**
 * A key within its caller: two callers that choose the same text have two keys.
 *
 * @param caller the caller
 * @param key the text that it sent
 */
public record ScopedKey(CallerName caller, IdempotencyKey key) {

    /** Checks that both parts are there. */
    public ScopedKey {
        Objects.requireNonNull(caller, "caller");
        Objects.requireNonNull(key, "key");
    }
}
