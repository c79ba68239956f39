package org.merlinwood.decision.idempotency;

import java.util.Objects;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.core.identity.IdempotencyKey;

/**
 * An idempotency key in the scope of its caller: the same text from two callers is two keys. Immutable.
 *
 * @param caller the caller
 * @param key the key that the caller sent
 */
public record ScopedKey(CallerName caller, IdempotencyKey key) {

    /** Rejects missing components. */
    public ScopedKey {
        Objects.requireNonNull(caller, "caller");
        Objects.requireNonNull(key, "key");
    }
}
