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
 * Checks a grant request on its own before the grant manager compares it with others: revisions, state of the upstream,
 * role and models that the inventory assigns to this instance, and the idempotency key.
 *
 * <p>Used by the control thread only.
 */
public final class DemandFilter {

    private static final long RETRY_MILLIS = 100;

    private final UpstreamGate gate;
    private final KeyStage keys;
    private final BiConsumer<PeerConnection, Revisions> onNewerRevision;
    private Optional<ServingConfiguration> configuration = Optional.empty();

    /**
     * Creates a filter that refuses everything before it is configured.
     *
     * @param gate tells whether the upstream can accept work
     * @param keys checks requests with idempotency keys
     * @param onNewerRevision called with a peer that has a newer revision of inventory or rules
     */
    public DemandFilter(UpstreamGate gate, KeyStage keys, BiConsumer<PeerConnection, Revisions> onNewerRevision) {
        this.gate = gate;
        this.keys = keys;
        this.onNewerRevision = onNewerRevision;
    }

    /**
     * Applies new inventory and rules.
     *
     * @param next the part that concerns this instance
     */
    void configure(ServingConfiguration next) {
        configuration = Optional.of(next);
    }

    /**
     * Checks a grant request.
     *
     * @param connection the connection that carried it
     * @param request the grant request
     * @return the reason to refuse it, or empty
     */
    Optional<Failure> refusal(PeerConnection connection, GrantRequest request) {
        if (configuration.isEmpty()) {
            return Optional.of(Failure.retryable(
                    ResultCode.NOT_READY, "the sidecar has not received inventory and rules yet", RETRY_MILLIS));
        }
        return revisionBehind(connection, request)
                .or(gate::refusal)
                .or(() -> wrongInstance(configuration.get(), request))
                .map(failure -> withKnownExecutionState(request, failure))
                .or(() -> keyRefusal(request));
    }

    /**
     * Adjusts the execution state of a refusal. The state covers all requests with the same idempotency key, and an
     * earlier one may have run here.
     *
     * @param request the refused grant request
     * @param failure the reason
     * @return the failure, with an unknown execution state unless the request has no key or its key would run here for
     *     the first time
     */
    Failure withKnownExecutionState(GrantRequest request, Failure failure) {
        boolean hasKey =
                GrantMessages.isKeyed(request) && !request.getIdempotencyKey().isBlank();
        boolean mayHaveRun = hasKey && !(keys.check(GrantMessages.keyedRequest(request)) instanceof KeyDecision.Run);
        return mayHaveRun ? failure.withExecutionState(ExecutionState.UNKNOWN) : failure;
    }

    /**
     * Tells whether a grant request needs capacity of the upstream.
     *
     * @param request a grant request that was not refused
     * @return false if a stored response is replayed, or if the request joins a running one with the same key
     */
    boolean needsCapacity(GrantRequest request) {
        return !GrantMessages.isKeyed(request)
                || keys.check(GrantMessages.keyedRequest(request)) instanceof KeyDecision.Run;
    }

    private Optional<Failure> revisionBehind(PeerConnection connection, GrantRequest request) {
        Revisions known = WireValues.fromWire(request.getRevisions());
        if (!configuration.get().revisions().isBehind(known)) {
            return Optional.empty();
        }
        onNewerRevision.accept(connection, known);
        return Optional.of(Failure.retryable(
                ResultCode.REVISION_BEHIND,
                "the sidecar has an older revision of inventory or rules and is updating",
                RETRY_MILLIS));
    }

    private static Optional<Failure> wrongInstance(ServingConfiguration configuration, GrantRequest request) {
        if (configuration.row().isEmpty()) {
            return Optional.of(
                    Failure.retryable(ResultCode.DRAINING, "the inventory does not list this instance", RETRY_MILLIS));
        }
        boolean matches = GrantMessages.matchesRole(request.getKind(), configuration)
                && (request.getModel().isEmpty() || configuration.hasModel(request.getModel()));
        return matches
                ? promptTooLong(configuration, request)
                : Optional.of(Failure.retryable(
                        ResultCode.NO_INSTANCE,
                        "the inventory assigns another role or other models to this instance",
                        RETRY_MILLIS));
    }

    /**
     * A prefill takes one unit regardless of its length, so the grant manager can't check it against the memory size.
     */
    private static Optional<Failure> promptTooLong(ServingConfiguration configuration, GrantRequest request) {
        return GrantMessages.exceedsMemory(request, configuration)
                ? Optional.of(Failure.of(
                        ResultCode.PROMPT_TOO_LONG,
                        "the prompt needs more than the " + configuration.pieces() + " memory pieces of the engine"))
                : Optional.empty();
    }

    private Optional<Failure> keyRefusal(GrantRequest request) {
        if (!GrantMessages.isKeyed(request)) {
            return Optional.empty();
        }
        if (request.getIdempotencyKey().isBlank()) {
            return Optional.of(
                    Failure.of(ResultCode.KEY_REQUIRED, "a non-idempotent request requires an idempotency key"));
        }
        return keys.check(GrantMessages.keyedRequest(request)) instanceof KeyDecision.Refuse refuse
                ? Optional.of(refuse.failure())
                : Optional.empty();
    }
}
