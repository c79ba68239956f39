package org.merlinwood.configuration.settings;

import java.util.HexFormat;

/**
 * A secret shared by the processes of one fleet. The secret must not appear in logs or dumps, so {@link #toString()}
 * omits it. Immutable.
 *
 * @param identifier number that identifies the key among the valid keys
 * @param secretHexadecimal the secret, at least 32 bytes as hexadecimal digits
 */
public record SharedKey(int identifier, String secretHexadecimal) {

    /** Minimum length of a secret, in bytes. */
    public static final int MINIMUM_SECRET_BYTES = 32;

    /**
     * Checks the format and the length of the secret.
     *
     * @throws IllegalArgumentException if the secret is not hexadecimal or too short
     */
    public SharedKey {
        if (HexFormat.of().parseHex(secretHexadecimal).length < MINIMUM_SECRET_BYTES) {
            throw new IllegalArgumentException("a key must have at least " + MINIMUM_SECRET_BYTES + " bytes");
        }
    }

    /**
     * Returns the secret.
     *
     * @return the secret in a new array
     */
    public byte[] secret() {
        return HexFormat.of().parseHex(secretHexadecimal);
    }

    @Override
    public String toString() {
        return "SharedKey[" + identifier + "]";
    }
}
