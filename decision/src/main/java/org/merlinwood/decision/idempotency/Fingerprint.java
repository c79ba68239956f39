package org.merlinwood.decision.idempotency;

import java.util.HexFormat;

/**
 * Digest of what a request would execute: two requests with the same one are the same request sent twice.
 *
 * @param hexadecimal the digest as hexadecimal digits; empty where the request has none
 */
public record Fingerprint(String hexadecimal) {

    /**
     * Creates a fingerprint from a digest.
     *
     * @param digest the bytes
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
     * Tells whether there is a digest at all.
     *
     * @return true if not
     */
    public boolean isEmpty() {
        return hexadecimal.isEmpty();
    }
}
