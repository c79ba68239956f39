package org.merlinwood.sidecar.admission;

import org.merlinwood.decision.grant.AttemptIdentity;
import org.merlinwood.decision.grant.SessionNumber;
import org.merlinwood.sidecar.execution.AnswerChannel;
import org.merlinwood.wire.GrantRequest;

/**
 * One exchange that asked for a grant and has not ended.
 *
 * @param attempt the attempt
 * @param session the connection
 * @param request what was asked for
 * @param channel ends the exchange
 * @param isolated true if nothing else may run beside it, since it may have ended an engine
 */
record OpenAttempt(
        AttemptIdentity attempt,
        SessionNumber session,
        GrantRequest request,
        AnswerChannel channel,
        boolean isolated) {}
