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

/** Receives the events of {@link UpstreamAttempt}s. Called on the control thread unless stated otherwise. */
interface AttemptListener {

    /** The attempt produced an event for the state machine. */
    void onEvent(UpstreamAttempt attempt, RequestEvent event);

    /** The response of the attempt ended; all of its parts have been passed to {@code onPart}. */
    void onResponseEnd(UpstreamAttempt attempt, AnswerEnd end);

    /** The prefill has completed and the attempt has ended. */
    void onPrefillDone(UpstreamAttempt attempt, PrefillDone done);

    /**
     * The sidecar refused and the attempt has ended. The load, if present, does not include the work of the attempt.
     */
    void onRefused(UpstreamAttempt attempt, Optional<Load> load, Failure failure);

    /** The sidecar reported its load, which includes the work of the attempt. */
    void onLoad(UpstreamAttempt attempt, Load load);

    /** The sidecar reported its revisions. */
    void onRevisions(PeerConnection connection, Revisions revisions);

    /** The attempt failed. Called before the corresponding event. */
    void onFailure(UpstreamAttempt attempt, Failure failure);

    /** The head of a response arrived. Called on an event loop, in order. */
    void onHead(UpstreamAttempt attempt, AnswerHead head);

    /** A part of a response arrived. Called on an event loop, in order. */
    void onPart(UpstreamAttempt attempt, AnswerPart part);
}
