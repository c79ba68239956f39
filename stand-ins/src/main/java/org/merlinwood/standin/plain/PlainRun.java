package org.merlinwood.standin.plain;

import org.merlinwood.standin.impl.SequencedRun;

/**
 * What a plain service ran for one call.
 *
 * @param sequence number of the run
 * @param method method of the call
 * @param path its path
 * @param key its header {@code Idempotency-Key}, empty where there was none
 * @param bodyDigest SHA-256 of its body
 * @param startedAtMillis wall time of its start
 * @param endedAtMillis wall time at which it had run, 0 before
 * @param status HTTP status of its answer, 0 where it was not answered
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

    PlainRun ran(long atMillis) {
        return new PlainRun(sequence, method, path, key, bodyDigest, startedAtMillis, atMillis, status);
    }

    PlainRun answered(int answeredStatus) {
        return new PlainRun(sequence, method, path, key, bodyDigest, startedAtMillis, endedAtMillis, answeredStatus);
    }
}
