package org.merlinwood.entry.dispatch;

import java.util.Optional;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.Failure;
import org.merlinwood.entry.machine.RequestEvent;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.wire.AnswerEnd;
import org.merlinwood.wire.AnswerHead;
import org.merlinwood.wire.AnswerPart;
import org.merlinwood.wire.Load;
import org.merlinwood.wire.PrefillDone;

/** Hears what one {@link UpstreamAttempt} receives. Called on the control thread unless said otherwise. */
interface AttemptListener {

    /** The attempt took a step that the state machine has to know of. */
    void onEvent(UpstreamAttempt attempt, RequestEvent event);

    /** The answer of the attempt ended; {@code onPart} has had all of its parts. */
    void onResponseEnd(UpstreamAttempt attempt, AnswerEnd end);

    /** The prefill of the attempt is done, and the attempt has ended. */
    void onPrefillDone(UpstreamAttempt attempt, PrefillDone done);

    /** The sidecar refused, and the attempt has ended; the load, if any, is without the work of the attempt. */
    void onRefused(UpstreamAttempt attempt, Optional<Load> load, Failure failure);

    /** The sidecar told of its load, which has the work of the attempt in it. */
    void onLoad(UpstreamAttempt attempt, Load load);

    /** The sidecar told of its revisions. */
    void onRevisions(PeerConnection connection, Revisions revisions);

    /** The attempt failed before it ended as it should; called before the event. */
    void onFailure(UpstreamAttempt attempt, Failure failure);

    /** Called on an event loop, in order. */
    void onHead(UpstreamAttempt attempt, AnswerHead head);

    /** Called on an event loop, in order. */
    void onPart(UpstreamAttempt attempt, AnswerPart part);
}
