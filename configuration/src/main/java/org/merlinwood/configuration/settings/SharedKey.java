package org.merlinwood.configuration.settings;

import java.util.HexFormat;

/**
 * A secret that the processes of one fleet share. Its text never appears in logs or dumps.
 *
 * @param identifier small number that tells valid keys apart
 * @param secretHexadecimal at least 32 bytes as hexadecimal digits
 */
public record SharedKey(int identifier, String secretHexadecimal) {

    /** Bytes that a secret has at least. */
    public static final int MINIMUM_SECRET_BYTES = 32;

    /** Checks the digits and the length. */
    public SharedKey {
        if (HexFormat.of().parseHex(secretHexadecimal).length < MINIMUM_SECRET_BYTES) {
            throw new IllegalArgumentException("a key needs " + MINIMUM_SECRET_BYTES + " bytes");
        }
    }

    /**
     * Returns the secret.
     *
     * @return a new array of bytes
     */
    public byte[] secret() {
        return HexFormat.of().parseHex(secretHexadecimal);
    }

    @Override
    public String toString() {
        return "SharedKey[" + identifier + "]";
    }
}
