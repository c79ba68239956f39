package org.merlinwood.decision.idempotency;

import java.util.List;

/**
 * A whole answer that may be given again. Immutable; the body must not be changed.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body
 */
@SuppressWarnings("ArrayRecordComponent") // a body of bytes is never compared
public record StoredResponse(int status, List<StoredHeader> headers, byte[] body) {

    private static final int FIXED_BYTES = 64;

    /** Copies the headers. */
    public StoredResponse {
        headers = List.copyOf(headers);
    }

    /**
     * One header line.
     *
     * @param name the name
     * @param value the value
     */
    public record StoredHeader(String name, String value) {}

    /**
     * Returns what the answer takes of the bound on stored answers.
     *
     * @return bytes
     */
    public long bytes() {
        long headerBytes = headers.stream()
                .mapToLong(header -> header.name().length() + header.value().length())
                .sum();
        return FIXED_BYTES + headerBytes + body.length;
    }
}
