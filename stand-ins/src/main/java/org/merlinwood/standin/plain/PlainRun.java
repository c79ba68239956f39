package org.merlinwood.standin.plain;

import org.merlinwood.standin.impl.SequencedRun;

/**
 * One run of a request by a plain service.
 *
 * @param sequence number of the run
 * @param method HTTP method of the request
 * @param path path of the request
 * @param key header {@code Idempotency-Key} of the request, empty if missing
 * @param bodyDigest SHA-256 of the request body
 * @param startedAtMillis wall time of the start, in milliseconds
 * @param endedAtMillis wall time of the end, in milliseconds; 0 while it runs
 * @param status HTTP status of the response, 0 if no response was sent
 */
public record PlainRun(
        long sequence,
        String method,
        String path,
        String key,
        String bodyDigest,
        long startedAtMillis,
        long endedAtMillis,
        int status)
        implements SequencedRun {

    PlainRun ran(long endMillis) {
        return new PlainRun(sequence, method, path, key, bodyDigest, startedAtMillis, endMillis, status);
    }

    PlainRun answered(int responseStatus) {
        return new PlainRun(sequence, method, path, key, bodyDigest, startedAtMillis, endedAtMillis, responseStatus);
    }
}
