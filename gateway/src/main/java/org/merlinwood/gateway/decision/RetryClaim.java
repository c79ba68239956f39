package org.merlinwood.gateway.decision;

import java.util.OptionalLong;

/**
 * What one request holds of the retry allowance: at most one retry that it has not sent yet. Confined to the event
 * loop.
 */
public final class RetryClaim {

    private final RetryAllowance allowance;
    private final String service;
    private OptionalLong acquiredMillis = OptionalLong.empty();

    /**
     * Creates a claim that holds no retry.
     *
     * @param allowance the allowance of this entry
     * @param service name of the service of the request
     */
    public RetryClaim(RetryAllowance allowance, String service) {
        this.allowance = allowance;
        this.service = service;
    }

    /**
     * Acquires a retry, unless one is held already.
     *
     * @return whether a retry is held now
     */
    public boolean tryAcquire() {
        if (acquiredMillis.isEmpty()) {
            acquiredMillis = allowance.acquire(service);
        }
        return acquiredMillis.isPresent();
    }

    /** Records that the retry, if one is held, has or may have reached an instance. */
    public void markUsed() {
        acquiredMillis = OptionalLong.empty();
    }

    /** Returns the retry, if one is held, since it will not be sent. */
    public void giveBack() {
        acquiredMillis.ifPresent(acquired -> allowance.giveBack(service, acquired));
        acquiredMillis = OptionalLong.empty();
    }
}
