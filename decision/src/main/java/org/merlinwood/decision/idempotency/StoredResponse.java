package org.merlinwood.decision.idempotency;

import java.util.List;

/**
 * A complete response that can be sent again. Immutable; the body must not be modified.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body
 */
@SuppressWarnings("ArrayRecordComponent") // responses are never compared
public record StoredResponse(int status, List<StoredHeader> headers, byte[] body) {

    private static final int FIXED_BYTES = 64;

    /** Copies the headers. */
    public StoredResponse {
        headers = List.copyOf(headers);
    }

    /**
     * One header.
     *
     * @param name the name
     * @param value the value
     */
    public record StoredHeader(String name, String value) {}

    /**
     * Returns the size that counts towards {@link KeyTableLimits#storedBytes()}.
     *
     * @return estimated size in memory, in bytes
     */
    public long bytes() {
        long headerBytes = headers.stream()
                .mapToLong(header -> header.name().length() + header.value().length())
                .sum();
        return FIXED_BYTES + headerBytes + body.length;
    }
}
