package org.merlinwood.entry.machine;

import java.util.List;
import java.util.Optional;
import org.merlinwood.entry.machine.RequestEvent.GivenUp;
import org.merlinwood.entry.machine.RequestEvent.Granted;
import org.merlinwood.entry.machine.RequestEvent.InstanceWaitEnded;
import org.merlinwood.entry.machine.RequestEvent.Lost;
import org.merlinwood.entry.machine.RequestEvent.PrefillDone;
import org.merlinwood.entry.machine.RequestEvent.Refused;
import org.merlinwood.entry.machine.RequestEvent.ResponseCompleted;
import org.merlinwood.entry.machine.RequestEvent.ResponseFailed;
import org.merlinwood.entry.machine.RequestEvent.RevisionsWaitEnded;

/**
 * State machine of a model request.
 *
 * <p>Requests the decode grant first, since decode memory is scarce, then a prefill grant. It runs the prefill and
 * starts the decode as soon as the prefill has completed. If a prefill fails, the decode grant is released and the
 * request restarts. If a decode fails, the request restarts as well, continuing after the tokens that the caller
 * already has. When a connection ends, the same instance is tried once more on another connection.
 *
 * <p>Reconnections and the first resumptions of a response are free. Every other restart or further candidate takes one
 * attempt from the retry budget. Not thread-safe: used by the control thread only.
 */
public final class ModelMachine implements RequestMachine {

    private final Placement placement;
    private final ModelSteps steps;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates the state machine of one request.
     *
     * @param placement placement and retry decisions
     */
    public ModelMachine(Placement placement) {
        this.placement = placement;
        this.steps = new ModelSteps(placement);
    }

    // ------------------------------------------------------------------ public API

    @Override
    public List<RequestAction> start() {
        placement.recordFirstAttempt();
        steps.start();
        return steps.drainActions();
    }

    @Override
    public List<RequestAction> handle(RequestEvent event) {
        ModelState state = steps.state();
        if (event instanceof GivenUp givenUp && !(state instanceof ModelState.Settled)) {
            steps.giveUp(givenUp.failure());
            return steps.drainActions();
        }
        switch (state) {
            case ModelState.AskingDecode asking -> onAskingDecode(asking, event);
            case ModelState.AskingPrefill asking -> onAskingPrefill(asking, event);
            case ModelState.Prefilling prefilling -> onPrefilling(prefilling, event);
            case ModelState.Decoding decoding -> onDecoding(decoding, event);
            case ModelState.AwaitingRevisions awaiting -> onAwaitingRevisions(event);
            case ModelState.AwaitingInstance awaiting -> onAwaitingInstance(event);
            case ModelState.Created created ->
                throw new IllegalStateException("received an event before start: " + event);
            case ModelState.Settled settled -> {}
        }
        return steps.drainActions();
    }

    @Override
    public String stateName() {
        return steps.state().getClass().getSimpleName();
    }

    // ------------------------------------------------------------------ internals: event handlers, one for each state

    private void onAskingDecode(ModelState.AskingDecode asking, RequestEvent event) {
        switch (event) {
            case Granted granted
            when granted.attempt() == asking.decode().attempt() -> steps.onDecodeGranted(asking.decode());
            case Refused refused
            when refused.attempt() == asking.decode().attempt() ->
                steps.onDecodeRefused(asking.decode(), refused.failure());
            case Lost lost
            when lost.attempt() == asking.decode().attempt() ->
                steps.onDecodeUnreachable(asking.decode(), lost.failure());
            default -> {}
        }
    }

    private void onAskingPrefill(ModelState.AskingPrefill asking, RequestEvent event) {
        switch (event) {
            case Granted granted when granted.attempt() == asking.prefill().attempt() -> steps.startPrefill(asking);
            case Refused refused
            when refused.attempt() == asking.prefill().attempt() -> steps.tryNextPrefill(asking, refused.failure());
            case Lost lost
            when lost.attempt() == asking.prefill().attempt() -> steps.onPrefillUnreachable(asking, lost.failure());
            case Refused refused
            when refused.attempt() == asking.decode().attempt() ->
                steps.onDecodeGrantLost(asking.decode(), asking.prefill(), refused.failure());
            case Lost lost
            when lost.attempt() == asking.decode().attempt() ->
                steps.onDecodeGrantLost(asking.decode(), asking.prefill(), lost.failure());
            default -> {}
        }
    }

    private void onPrefilling(ModelState.Prefilling prefilling, RequestEvent event) {
        switch (event) {
            case PrefillDone done
            when done.attempt() == prefilling.prefill().attempt() ->
                steps.startDecode(prefilling.decode(), Optional.of(done.cache()));
            case Refused refused
            when refused.attempt() == prefilling.prefill().attempt() ->
                steps.onPrefillFailed(prefilling, refused.failure());
            case ResponseFailed failed
            when failed.attempt() == prefilling.prefill().attempt() ->
                steps.onPrefillFailed(prefilling, failed.failure());
            case Lost lost
            when lost.attempt() == prefilling.prefill().attempt() -> steps.onPrefillFailed(prefilling, lost.failure());
            case Refused refused
            when refused.attempt() == prefilling.decode().attempt() ->
                steps.onDecodeGrantLost(prefilling.decode(), prefilling.prefill(), refused.failure());
            case Lost lost
            when lost.attempt() == prefilling.decode().attempt() ->
                steps.onDecodeGrantLost(prefilling.decode(), prefilling.prefill(), lost.failure());
            default -> {}
        }
    }

    private void onDecoding(ModelState.Decoding decoding, RequestEvent event) {
        switch (event) {
            case ResponseCompleted completed
            when completed.attempt() == decoding.decode().attempt() -> steps.onResponseCompleted();
            case ResponseFailed failed
            when failed.attempt() == decoding.decode().attempt() ->
                steps.onResponseFailed(decoding.decode(), failed.failure());
            case Refused refused
            when refused.attempt() == decoding.decode().attempt() ->
                steps.onDecodeFailed(decoding.decode(), refused.failure());
            case Lost lost
            when lost.attempt() == decoding.decode().attempt() -> steps.onDecodeLost(decoding.decode(), lost.failure());
            default -> {}
        }
    }

    private void onAwaitingRevisions(RequestEvent event) {
        if (event instanceof RevisionsWaitEnded ended) {
            steps.onRevisionsWaitEnded(ended.reached());
        }
    }

    private void onAwaitingInstance(RequestEvent event) {
        if (event instanceof InstanceWaitEnded) {
            steps.onInstanceWaitEnded();
        }
    }
}
