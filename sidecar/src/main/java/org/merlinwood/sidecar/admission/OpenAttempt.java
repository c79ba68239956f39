package org.merlinwood.sidecar.admission;

import org.merlinwood.decision.grant.AttemptIdentity;
import org.merlinwood.decision.grant.SessionNumber;
import org.merlinwood.sidecar.execution.ResponseChannel;
import org.merlinwood.wire.GrantRequest;

/**
 * An attempt that requested a grant and whose exchange has not ended.
 *
 * @param attempt request and attempt number
 * @param session number of the connection that carried the grant request
 * @param request the grant request
 * @param channel sends the response on the exchange
 * @param isolated whether the request is suspected of crashing engines, so that the attempt starts on trial and no
 *     other suspect runs beside it until the trial is over
 * @param watched whether its first token must be reported, since a prefix of its prompt is suspected
 */
record OpenAttempt(
        AttemptIdentity attempt,
        SessionNumber session,
        GrantRequest request,
        ResponseChannel channel,
        boolean isolated,
        boolean watched) {

    OpenAttempt asIsolated() {
        return new OpenAttempt(attempt, session, request, channel, true, watched);
    }

    OpenAttempt asWatched() {
        return new OpenAttempt(attempt, session, request, channel, isolated, true);
    }
}
