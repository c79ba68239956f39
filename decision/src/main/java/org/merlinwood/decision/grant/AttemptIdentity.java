package org.merlinwood.decision.grant;

import java.util.Objects;
import org.merlinwood.core.identity.RequestIdentifier;

/**
 * Identifies one attempt of one request. Immutable.
 *
 * @param request the request
 * @param attempt number of the attempt, from 1
 */
public record AttemptIdentity(RequestIdentifier request, int attempt) {

    /** Rejects a missing request. */
    public AttemptIdentity {
        Objects.requireNonNull(request, "request");
    }

    @Override
    public String toString() {
        return request + "/" + attempt;
    }
}
