package org.merlinwood.sidecar.admission;

import java.util.Optional;
import java.util.function.BiConsumer;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.idempotency.KeyDecision;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.WireValues;
import org.merlinwood.sidecar.key.KeyStage;
import org.merlinwood.wire.GrantRequest;

/**
 * Judges a demand by itself, before the grant book weighs it against others: revisions, the state of the upstream, the
 * work that the inventory gives this instance, the key.
 *
 * <p>Used by the control thread only.
 */
public final class DemandFilter {

    private static final long RETRY_MILLIS = 100;

    private final UpstreamGate gate;
    private final KeyStage keys;
    private final BiConsumer<PeerConnection, Revisions> onBehind;
    private Optional<ServingConfiguration> view = Optional.empty();

    /**
     * Creates a filter that refuses everything before it is configured.
     *
     * @param gate whether the upstream can take work
     * @param keys judges calls with keys
     * @param onBehind hears of peers that know a higher revision
     */
    public DemandFilter(UpstreamGate gate, KeyStage keys, BiConsumer<PeerConnection, Revisions> onBehind) {
        this.gate = gate;
        this.keys = keys;
        this.onBehind = onBehind;
    }

    /**
     * Puts inventory and rules in force.
     *
     * @param next what they say about this instance
     */
    void configure(ServingConfiguration next) {
        view = Optional.of(next);
    }

    /**
     * Judges a demand.
     *
     * @param connection the connection that carried it
     * @param request the demand
     * @return why it is refused, or empty
     */
    Optional<Failure> refusal(PeerConnection connection, GrantRequest request) {
        if (view.isEmpty()) {
            return Optional.of(Failure.retryable(
                    ResultCode.NOT_READY, "this process has no inventory and rules yet", RETRY_MILLIS));
        }
        return behind(connection, request)
                .or(gate::refusal)
                .or(() -> misplaced(view.get(), request))
                .map(failure -> withKnownExecutionState(request, failure))
                .or(() -> keyRefusal(request));
    }

    /**
     * Narrows what a refusal says of execution. It speaks of all calls with the same key, of which an earlier one may
     * have run here.
     *
     * @param request the demand that is refused
     * @param failure why
     * @return the failure, with an unknown outcome unless the key would run here for the first time
     */
    Failure withKnownExecutionState(GrantRequest request, Failure failure) {
        boolean hasKey =
                GrantMessages.isKeyed(request) && !request.getIdempotencyKey().isBlank();
        boolean mayHaveRun = hasKey && !(keys.check(GrantMessages.keyedCall(request)) instanceof KeyDecision.Run);
        return mayHaveRun ? failure.withExecutionState(ExecutionState.UNKNOWN) : failure;
    }

    /**
     * Tells whether a demand takes anything of the upstream.
     *
     * @param request a demand that is not refused
     * @return false for an answer that is given again, or waited for together with the first call
     */
    boolean needsCapacity(GrantRequest request) {
        return !GrantMessages.isKeyed(request)
                || keys.check(GrantMessages.keyedCall(request)) instanceof KeyDecision.Run;
    }

    // ------------------------------------------------------------------ internals

    private Optional<Failure> behind(PeerConnection connection, GrantRequest request) {
        Revisions known = WireValues.fromWire(request.getRevisions());
        if (!view.get().revisions().isBehind(known)) {
            return Optional.empty();
        }
        onBehind.accept(connection, known);
        return Optional.of(Failure.retryable(
                ResultCode.REVISION_BEHIND, "this process has an older revision and catches up", RETRY_MILLIS));
    }

    private static Optional<Failure> misplaced(ServingConfiguration view, GrantRequest request) {
        if (view.row().isEmpty()) {
            return Optional.of(
                    Failure.retryable(ResultCode.DRAINING, "the inventory does not list this instance", RETRY_MILLIS));
        }
        boolean fits = GrantMessages.fits(request.getKind(), view)
                && (request.getModel().isEmpty() || view.carries(request.getModel()));
        return fits
                ? tooLong(view, request)
                : Optional.of(Failure.retryable(
                        ResultCode.NO_INSTANCE, "the inventory gives this instance other work", RETRY_MILLIS));
    }

    /** A prefill takes one unit whatever its length, so the grant book can't tell. */
    private static Optional<Failure> tooLong(ServingConfiguration view, GrantRequest request) {
        return GrantMessages.exceedsMemory(request, view)
                ? Optional.of(Failure.of(
                        ResultCode.PROMPT_TOO_LONG,
                        "the prompt takes more than all " + view.pieces() + " pieces of the engine"))
                : Optional.empty();
    }

    private Optional<Failure> keyRefusal(GrantRequest request) {
        if (!GrantMessages.isKeyed(request)) {
            return Optional.empty();
        }
        if (request.getIdempotencyKey().isBlank()) {
            return Optional.of(Failure.of(ResultCode.KEY_REQUIRED, "a call that may not be repeated needs a key"));
        }
        return keys.check(GrantMessages.keyedCall(request)) instanceof KeyDecision.Refuse refuse
                ? Optional.of(refuse.failure())
                : Optional.empty();
    }
}
