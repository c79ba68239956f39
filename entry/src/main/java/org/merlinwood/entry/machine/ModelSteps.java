package org.merlinwood.entry.machine;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.entry.machine.ModelAttempts.Charge;
import org.merlinwood.entry.machine.ModelState.Attempt;
import org.merlinwood.entry.machine.RequestAction.AwaitInstance;
import org.merlinwood.entry.machine.RequestAction.AwaitRevisions;
import org.merlinwood.entry.machine.RequestAction.Cancel;
import org.merlinwood.entry.machine.RequestAction.Complete;
import org.merlinwood.entry.machine.RequestAction.ExecuteDecode;
import org.merlinwood.entry.machine.RequestAction.ExecutePrefill;
import org.merlinwood.entry.machine.RequestAction.Release;
import org.merlinwood.entry.machine.RequestAction.RequestGrant;
import org.merlinwood.wire.CacheHandle;

/**
 * The steps of a model request: what follows from each event, as the next state and the actions to perform. Which event
 * counts in which state is decided by {@link ModelMachine}. Not thread-safe: used by the control thread only.
 */
final class ModelSteps {

    /** Number of failed transfers after which the decode engine runs the prefill itself. */
    private static final int FAILED_TRANSFERS_BEFORE_LOCAL_PREFILL = 2;

    private final RefusalSummary refusals;
    private final ModelAttempts attempts;
    private final ExcludedInstances excluded = new ExcludedInstances();
    private final List<RequestAction> actions = new ArrayList<>();
    private ModelState state = new ModelState.Created();
    private int failedTransfers;
    private boolean responseStarted;
    private Optional<InstanceName> resumingInstance = Optional.empty();
    private ExecutionState executionState = ExecutionState.NOT_RUN;

    /** Creates the steps of a request that has not started. */
    ModelSteps(Placement placement) {
        this.refusals = new RefusalSummary(placement);
        this.attempts = new ModelAttempts(placement, refusals);
    }

    // ------------------------------------------------------------------ life of the request

    /** Requests the first decode grant. */
    void start() {
        requestDecodeGrant(Charge.FREE);
    }

    /** Cancels all open attempts and completes the request with the failure. */
    void giveUp(Failure failure) {
        for (Attempt open : state.openAttempts()) {
            actions.add(new Cancel(open.attempt(), failure.code()));
        }
        complete(Optional.of(failure.withExecutionState(executionState)));
    }

    /** Returns the current state. */
    ModelState state() {
        return state;
    }

    /** Returns the actions that have been added since the last call, in order. */
    List<RequestAction> drainActions() {
        List<RequestAction> drained = List.copyOf(actions);
        actions.clear();
        return drained;
    }

    // ------------------------------------------------------------------ decode grant

    /** Starts the decode if it needs no prefill, otherwise requests the prefill grant. */
    void onDecodeGranted(Attempt decode) {
        boolean isResumedInPlace =
                resumingInstance.filter(decode.instance().name()::equals).isPresent();
        if (isResumedInPlace || failedTransfers >= FAILED_TRANSFERS_BEFORE_LOCAL_PREFILL) {
            startDecode(decode, Optional.empty());
        } else {
            requestPrefillGrant(decode, Charge.FREE);
        }
    }

    /** Waits for the revisions that the sidecar has and this entry hasn't, otherwise tries another decode instance. */
    void onDecodeRefused(Attempt decode, Failure failure) {
        if (failure.code() == ResultCode.REVISION_BEHIND) {
            refusals.add(failure);
            actions.add(new AwaitRevisions());
            state = new ModelState.AwaitingRevisions();
        } else {
            tryNextDecode(decode, failure);
        }
    }

    /** Tries the same instance on another connection, otherwise another one. */
    void onDecodeUnreachable(Attempt decode, Failure failure) {
        attempts.recordUnreachable(failure);
        if (attempts.mayReconnect(decode, failure, executionState)) {
            state = new ModelState.AskingDecode(requestGrantOnNewConnection(decode, InstanceRole.DECODE));
        } else {
            tryNextDecode(decode, failure);
        }
    }

    /** Cancels the prefill, whose result cannot be used after the decode grant is lost. */
    void onDecodeGrantLost(Attempt decode, Attempt prefill, Failure failure) {
        actions.add(new Cancel(prefill.attempt(), ResultCode.CANCELLED));
        if (failure.code() == ResultCode.GRANT_EXPIRED) {
            restart(failure);
        } else {
            onDecodeUnreachable(decode, failure);
        }
    }

    // ------------------------------------------------------------------ prefill

    /** Executes the prefill, whose grant has arrived. */
    void startPrefill(ModelState.AskingPrefill asking) {
        actions.add(new ExecutePrefill(asking.prefill().attempt()));
        executionState = ExecutionState.UNKNOWN;
        state = new ModelState.Prefilling(asking.decode(), asking.prefill());
    }

    /** Requests a prefill grant of another instance; the decode grant is kept. */
    void tryNextPrefill(ModelState.AskingPrefill asking, Failure failure) {
        refusals.add(failure);
        excluded.exclude(InstanceRole.PREFILL, asking.prefill().instance().name());
        if (RefusalSummary.isFinal(failure)) {
            actions.add(new Release(asking.decode().attempt()));
            complete(Optional.of(failure.withExecutionState(executionState)));
        } else {
            requestPrefillGrant(asking.decode(), attempts.retryCharge());
        }
    }

    /** Tries the same instance on another connection, otherwise another one; the decode grant is kept. */
    void onPrefillUnreachable(ModelState.AskingPrefill asking, Failure failure) {
        if (attempts.mayReconnect(asking.prefill(), failure, executionState)) {
            state = new ModelState.AskingPrefill(
                    asking.decode(), requestGrantOnNewConnection(asking.prefill(), InstanceRole.PREFILL));
        } else {
            tryNextPrefill(asking, failure);
        }
    }

    /** Releases the decode grant and restarts the request without that prefill instance. */
    void onPrefillFailed(ModelState.Prefilling prefilling, Failure failure) {
        actions.add(new Release(prefilling.decode().attempt()));
        excluded.exclude(InstanceRole.PREFILL, prefilling.prefill().instance().name());
        restart(failure);
    }

    // ------------------------------------------------------------------ decode

    /**
     * Executes the decode.
     *
     * @param cache result of the prefill, empty if the decode engine has to run the prefill itself
     */
    void startDecode(Attempt decode, Optional<CacheHandle> cache) {
        actions.add(new ExecuteDecode(decode.attempt(), cache));
        executionState = ExecutionState.UNKNOWN;
        responseStarted = true;
        state = new ModelState.Decoding(decode);
    }

    /** Completes the request without a failure. */
    void onResponseCompleted() {
        complete(Optional.empty());
    }

    /** Cancels the decode, whose response ended early, and resumes it with a new grant. */
    void onResponseFailed(Attempt decode, Failure failure) {
        actions.add(new Cancel(decode.attempt(), failure.code()));
        onDecodeFailed(decode, failure);
    }

    /**
     * The engine may still have the KV cache of the request, so the same sidecar is tried first, on another connection.
     */
    void onDecodeLost(Attempt decode, Failure failure) {
        if (attempts.mayReconnect(decode, failure, executionState)) {
            attempts.recordResumption();
            resumingInstance = Optional.of(decode.instance().name());
            state = new ModelState.AskingDecode(requestGrantOnNewConnection(decode, InstanceRole.DECODE));
        } else {
            onDecodeFailed(decode, failure);
        }
    }

    /**
     * Resumes the response with a new grant. Earlier exclusions are dropped; the instance itself is excluded unless its
     * engine is not to blame.
     */
    void onDecodeFailed(Attempt decode, Failure failure) {
        resumingInstance = Optional.empty();
        excluded.clear();
        switch (failure.code()) {
            case TRANSFER_FAILED -> failedTransfers++;
            case GRANT_EXPIRED, GRANT_UNKNOWN -> {}
            default -> {
                attempts.recordResumption();
                excluded.excludeFailedDecode(decode.instance().name(), !RefusalSummary.isConnectionEnd(failure));
            }
        }
        restart(failure);
    }

    // ------------------------------------------------------------------ waits

    /** Requests a decode grant if the awaited revisions are active, otherwise completes the request with a failure. */
    void onRevisionsWaitEnded(boolean isReached) {
        if (isReached) {
            requestDecodeGrant(Charge.FREE);
        } else {
            complete(Optional.of(refusals.noInstanceLeft(executionState)));
        }
    }

    /** Requests a decode grant again, of any instance but the one whose engine failed last. */
    void onInstanceWaitEnded() {
        excluded.clearExceptLastFailed();
        requestDecodeGrant(attempts.retryCharge());
    }

    // ------------------------------------------------------------------ internals

    private void requestDecodeGrant(Charge charge) {
        Either<Failure, Attempt> requested = requestGrant(InstanceRole.DECODE, charge);
        if (requested.isRight()) {
            state = new ModelState.AskingDecode(requested.get());
        } else {
            awaitInstance(requested.getLeft());
        }
    }

    private void requestPrefillGrant(Attempt decode, Charge charge) {
        Either<Failure, Attempt> requested = requestGrant(InstanceRole.PREFILL, charge);
        if (requested.isRight()) {
            state = new ModelState.AskingPrefill(decode, requested.get());
        } else {
            actions.add(new Release(decode.attempt()));
            awaitInstance(requested.getLeft());
        }
    }

    private Either<Failure, Attempt> requestGrant(InstanceRole role, Charge charge) {
        Either<Failure, Attempt> placed = attempts.place(role, excluded.of(role), charge, executionState);
        placed.peek(attempt -> actions.add(new RequestGrant(attempt.attempt(), role, attempt.instance())));
        return placed;
    }

    private Attempt requestGrantOnNewConnection(Attempt lost, InstanceRole role) {
        Attempt attempt = attempts.reconnect(lost);
        actions.add(new RequestGrant(attempt.attempt(), role, attempt.instance()));
        return attempt;
    }

    private void tryNextDecode(Attempt decode, Failure failure) {
        resumingInstance = Optional.empty();
        excluded.exclude(InstanceRole.DECODE, decode.instance().name());
        restart(failure);
    }

    private void restart(Failure failure) {
        refusals.add(failure);
        if (RefusalSummary.isFinal(failure)) {
            complete(Optional.of(failure.withExecutionState(executionState)));
        } else {
            requestDecodeGrant(attempts.retryCharge());
        }
    }

    /**
     * A response that has started waits for an instance for a bounded time, except for the instance whose engine failed
     * last. A request whose response has not started fails immediately.
     */
    private void awaitInstance(Failure noInstanceLeft) {
        boolean mayWait =
                responseStarted && noInstanceLeft.code() != ResultCode.RETRY_BUDGET_SPENT && attempts.tryWait();
        if (mayWait) {
            actions.add(new AwaitInstance(ModelAttempts.INSTANCE_POLL_INTERVAL_MILLIS));
            state = new ModelState.AwaitingInstance();
        } else {
            complete(Optional.of(noInstanceLeft));
        }
    }

    private void complete(Optional<Failure> failure) {
        state = new ModelState.Settled();
        actions.add(new Complete(failure));
    }
}
