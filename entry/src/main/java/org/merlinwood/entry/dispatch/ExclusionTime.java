package org.merlinwood.entry.dispatch;

import org.merlinwood.core.result.Failure;

/** Decides how long an instance is excluded from placement after a failure. Stateless. */
final class ExclusionTime {

    /** Longest exclusion of an unreachable instance. */
    static final long UNREACHABLE_MILLIS = 1_000;

    /** Exclusion of a draining instance. */
    static final long DRAINING_MILLIS = 5_000;

    private ExclusionTime() {}

    /**
     * Returns how long the instance is excluded. A sidecar whose engine is unreachable states when it will know more;
     * the instance is asked again then, since responses that have begun may be waiting for it.
     *
     * @param failure the refusal, or the failure of an attempt
     * @return time in milliseconds, 0 if the failure says nothing about later attempts
     */
    static long millisAfter(Failure failure) {
        return switch (failure.code()) {
            case DRAINING -> DRAINING_MILLIS;
            case UPSTREAM_UNREACHABLE ->
                failure.retryAfterMillis() > 0
                        ? Math.min(UNREACHABLE_MILLIS, failure.retryAfterMillis())
                        : UNREACHABLE_MILLIS;
            case PEER_SILENT, AUTHENTICATION_FAILED -> UNREACHABLE_MILLIS;
            default -> 0;
        };
    }
}
