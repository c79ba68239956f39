package org.merlinwood.sidecar.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.grant.AttemptIdentity;
import org.merlinwood.decision.idempotency.Fingerprint;
import org.merlinwood.decision.suspicion.PrefixDecision;
import org.merlinwood.decision.suspicion.SuspicionDecision;
import org.merlinwood.sidecar.suspicion.SuspicionStage;

/**
 * The attempts of which it is not known yet whether their requests are suspected of crashing engines. The grant manager
 * does not know them. Used by the control thread only.
 */
final class SuspicionQueries {

    private final SuspicionStage suspicion;
    private final Consumer<OpenAttempt> onFree;
    private final Consumer<OpenAttempt> onIsolated;
    private final BiConsumer<OpenAttempt, Failure> onRefused;
    private final Map<AttemptIdentity, OpenAttempt> pending = new HashMap<>();

    /**
     * Creates an empty set.
     *
     * @param suspicion finds out whether a request is suspected
     * @param onFree called with each attempt that is not suspected
     * @param onIsolated called with each suspected attempt that may run if no other one does
     * @param onRefused called with each attempt that must not run now, and the reason
     */
    SuspicionQueries(
            SuspicionStage suspicion,
            Consumer<OpenAttempt> onFree,
            Consumer<OpenAttempt> onIsolated,
            BiConsumer<OpenAttempt, Failure> onRefused) {
        this.suspicion = suspicion;
        this.onFree = onFree;
        this.onIsolated = onIsolated;
        this.onRefused = onRefused;
    }

    /**
     * Starts a query. Exactly one of the actions is called at its end, now or later.
     *
     * @param attempt the attempt
     * @param fingerprint identifies its request by the content
     */
    void start(OpenAttempt attempt, Fingerprint fingerprint) {
        pending.put(attempt.attempt(), attempt);
        suspicion
                .prefixes()
                .query(
                        GrantMessages.prefixes(attempt.request()),
                        decision -> onPrefixDecision(attempt, fingerprint, decision));
    }

    /**
     * Finds an attempt whose query has not ended.
     *
     * @param attempt request and attempt number
     * @return the attempt, or empty if there is none
     */
    Optional<OpenAttempt> find(AttemptIdentity attempt) {
        return Optional.ofNullable(pending.get(attempt));
    }

    /**
     * Ends the queries of some attempts and refuses these.
     *
     * @param attempts selects the attempts
     * @param failure the reason
     */
    void refuse(Predicate<OpenAttempt> attempts, Failure failure) {
        List<OpenAttempt> refused = pending.values().stream().filter(attempts).toList();
        refused.forEach(attempt -> {
            pending.remove(attempt.attempt());
            onRefused.accept(attempt, failure.withExecutionState(ExecutionState.NOT_RUN));
        });
    }

    private void onPrefixDecision(OpenAttempt attempt, Fingerprint fingerprint, PrefixDecision decision) {
        switch (decision) {
            case PrefixDecision.Free free -> queryContent(attempt, attempt, fingerprint);
            case PrefixDecision.Watch watch -> queryContent(attempt, attempt.asWatched(), fingerprint);
            case PrefixDecision.Refuse refuse -> refuse(attempt, refuse);
        }
    }

    /** Continues with the content of the whole request, unless the attempt has been refused meanwhile. */
    private void queryContent(OpenAttempt queried, OpenAttempt attempt, Fingerprint fingerprint) {
        if (pending.replace(queried.attempt(), queried, attempt)) {
            suspicion.query(fingerprint, attempt.attempt().request(), decision -> onDecision(attempt, decision));
        }
    }

    private void refuse(OpenAttempt attempt, PrefixDecision.Refuse decision) {
        if (pending.remove(attempt.attempt(), attempt)) {
            refuse(
                    attempt,
                    ResultCode.REQUEST_QUARANTINED,
                    decision.crashes() + " engines crashed when responses to such prompts were about to begin",
                    decision.expiresInMillis());
        }
    }

    private void onDecision(OpenAttempt attempt, SuspicionDecision decision) {
        if (!pending.remove(attempt.attempt(), attempt)) {
            return;
        }
        switch (decision) {
            case SuspicionDecision.Free free -> onFree.accept(attempt);
            case SuspicionDecision.Isolate isolate -> onIsolated.accept(attempt);
            case SuspicionDecision.Wait wait ->
                refuse(
                        attempt,
                        ResultCode.NO_CAPACITY,
                        "the same request is already running on trial",
                        wait.retryAfterMillis());
            case SuspicionDecision.Quarantined quarantined ->
                refuse(
                        attempt,
                        ResultCode.REQUEST_QUARANTINED,
                        quarantined.crashes() + " engines crashed while the request ran",
                        quarantined.expiresInMillis());
        }
    }

    private void refuse(OpenAttempt attempt, ResultCode code, String detail, long retryAfterMillis) {
        onRefused.accept(attempt, Failure.retryable(code, detail, retryAfterMillis));
    }
}
