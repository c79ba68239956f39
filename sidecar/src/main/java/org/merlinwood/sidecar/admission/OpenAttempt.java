package org.merlinwood.sidecar.admission;

import org.merlinwood.decision.grant.AttemptIdentity;
import org.merlinwood.decision.grant.SessionNumber;
import org.merlinwood.sidecar.execution.ResponseChannel;
import org.merlinwood.wire.GrantRequest;

/**
 * One exchange that asked for a grant and has not ended.
 *
 * @param attempt the attempt
 * @param session the connection
 * @param request what was asked for
 * @param channel ends the exchange
 * @param isolated true if it may have ended an engine, so that no other suspect runs beside it until its trial is over
 */
record OpenAttempt(
        AttemptIdentity attempt,
        SessionNumber session,
        GrantRequest request,
        ResponseChannel channel,
        boolean isolated) {}
