package org.merlinwood.decision.idempotency;

import java.util.HexFormat;

/**
 * Digest of what a request would execute. Two requests with the same fingerprint count as the same request sent twice.
 * Immutable.
 *
 * @param hexadecimal the digest as hexadecimal digits; empty if the request has none
 */
public record Fingerprint(String hexadecimal) {

    /**
     * Creates a fingerprint from a digest.
     *
     * @param digest the bytes of the digest
     * @return the fingerprint
     */
    public static Fingerprint of(byte[] digest) {
        return new Fingerprint(HexFormat.of().formatHex(digest));
    }

    /**
     * Returns the digest.
     *
     * @return a new array of bytes
     */
    public byte[] digest() {
        return HexFormat.of().parseHex(hexadecimal);
    }

    /**
     * Tells whether the request has no digest.
     *
     * @return true if there is no digest
     */
    public boolean isEmpty() {
        return hexadecimal.isEmpty();
    }
}
