package org.merlinwood.decision.grant;

import java.util.Objects;
import org.merlinwood.core.identity.RequestIdentifier;

/**
 * One attempt of one request.
 *
 * @param request the request
 * @param attempt number of the attempt, from 1
 */
public record AttemptIdentity(RequestIdentifier request, int attempt) {

    /** Checks that the request is there. */
    public AttemptIdentity {
        Objects.requireNonNull(request, "request");
    }

    @Override
    public String toString() {
        return request + "/" + attempt;
    }
}
