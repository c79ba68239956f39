package org.merlinwood.decision.idempotency;

import java.util.OptionalLong;
import java.util.regex.Pattern;
import org.merlinwood.core.identity.IdempotencyKey;

/** Reads the timestamp of a caller's own key, if it contains one. Stateless, thread-safe. */
public final class KeyTime {

    private static final Pattern VERSION_SEVEN =
            Pattern.compile("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");
    private static final int HEXADECIMAL = 16;
    private static final int HIGH_DIGITS = 8;
    private static final int LOW_START = 9;
    private static final int LOW_END = 13;

    private KeyTime() {}

    /**
     * Reads the timestamp of a key that is a UUID of version 7 (RFC 9562).
     *
     * @param key the key
     * @return wall time in milliseconds since 1970-01-01T00:00:00Z, or empty for any other key
     */
    public static OptionalLong of(IdempotencyKey key) {
        String text = key.value();
        if (!VERSION_SEVEN.matcher(text).matches()) {
            return OptionalLong.empty();
        }
        String digits = text.substring(0, HIGH_DIGITS) + text.substring(LOW_START, LOW_END);
        return OptionalLong.of(Long.parseLong(digits, HEXADECIMAL));
    }
}
