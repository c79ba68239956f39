package org.merlinwood.entry.machine;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.entry.machine.ModelState.Attempt;
import org.merlinwood.entry.machine.RequestAction.AwaitInstance;
import org.merlinwood.entry.machine.RequestAction.AwaitRevisions;
import org.merlinwood.entry.machine.RequestAction.Cancel;
import org.merlinwood.entry.machine.RequestAction.Complete;
import org.merlinwood.entry.machine.RequestAction.ExecuteDecode;
import org.merlinwood.entry.machine.RequestAction.ExecutePrefill;
import org.merlinwood.entry.machine.RequestAction.Release;
import org.merlinwood.entry.machine.RequestAction.RequestGrant;
import org.merlinwood.entry.machine.RequestEvent.GivenUp;
import org.merlinwood.entry.machine.RequestEvent.Granted;
import org.merlinwood.entry.machine.RequestEvent.InstanceWaitEnded;
import org.merlinwood.entry.machine.RequestEvent.Lost;
import org.merlinwood.entry.machine.RequestEvent.PrefillDone;
import org.merlinwood.entry.machine.RequestEvent.Refused;
import org.merlinwood.entry.machine.RequestEvent.ResponseCompleted;
import org.merlinwood.entry.machine.RequestEvent.ResponseFailed;
import org.merlinwood.entry.machine.RequestEvent.RevisionsWaitEnded;
import org.merlinwood.wire.CacheHandle;

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

    /** Maximum number of grants that one request may request. */
    public static final int MAXIMUM_ATTEMPTS = 12;

    /** Number of failed transfers after which the decode engine runs the prefill itself. */
    private static final int FAILED_TRANSFERS_BEFORE_LOCAL_PREFILL = 2;

    /** Resumptions of one response that do not use the retry budget. */
    private static final int FREE_RESUMPTIONS = 3;

    /** Wait between two attempts to place a response that has started. */
    private static final long INSTANCE_POLL_INTERVAL_MILLIS = 250;

    /** Total time that a response that has started waits for an instance. */
    private static final long MAXIMUM_INSTANCE_WAIT_MILLIS = 10_000;

    private final Placement placement;
    private final RefusalSummary refusals;
    private final Set<InstanceName> excludedDecodes = new HashSet<>();
    private final Set<InstanceName> excludedPrefills = new HashSet<>();
    private final Map<InstanceName, Integer> reconnections = new HashMap<>();
    private final List<RequestAction> actions = new ArrayList<>();
    private ModelState state = new ModelState.Created();
    private int attempts;
    private int failedTransfers;
    private int resumptions;
    private int unreachableInstances;
    private long instanceWaitMillis;
    private boolean responseStarted;
    private Optional<InstanceName> lastFailedInstance = Optional.empty();
    private Optional<InstanceName> resumingInstance = Optional.empty();
    private ExecutionState executionState = ExecutionState.NOT_RUN;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates the state machine of one request.
     *
     * @param placement placement and retry decisions
     */
    public ModelMachine(Placement placement) {
        this.placement = placement;
        this.refusals = new RefusalSummary(placement);
    }

    // ------------------------------------------------------------------ public API

    @Override
    public List<RequestAction> start() {
        placement.recordFirstAttempt();
        requestDecodeGrant(Charge.FREE);
        return drainActions();
    }

    @Override
    public List<RequestAction> handle(RequestEvent event) {
        if (event instanceof GivenUp givenUp && !(state instanceof ModelState.Settled)) {
            giveUp(givenUp.failure());
            return drainActions();
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
        return drainActions();
    }

    @Override
    public String stateName() {
        return state.getClass().getSimpleName();
    }

    // ------------------------------------------------------------------ internals: event handlers, one for each state

    private void onAskingDecode(ModelState.AskingDecode asking, RequestEvent event) {
        switch (event) {
            case Granted granted
            when granted.attempt() == asking.decode().attempt() -> onDecodeGranted(asking.decode());
            case Refused refused
            when refused.attempt() == asking.decode().attempt() -> onDecodeRefused(asking.decode(), refused.failure());
            case Lost lost
            when lost.attempt() == asking.decode().attempt() -> onDecodeUnreachable(asking.decode(), lost.failure());
            default -> {}
        }
    }

    private void onAskingPrefill(ModelState.AskingPrefill asking, RequestEvent event) {
        switch (event) {
            case Granted granted
            when granted.attempt() == asking.prefill().attempt() -> {
                actions.add(new ExecutePrefill(granted.attempt()));
                executionState = ExecutionState.UNKNOWN;
                state = new ModelState.Prefilling(asking.decode(), asking.prefill());
            }
            case Refused refused
            when refused.attempt() == asking.prefill().attempt() -> tryNextPrefill(asking, refused.failure());
            case Lost lost
            when lost.attempt() == asking.prefill().attempt() -> onPrefillUnreachable(asking, lost.failure());
            case Refused refused
            when refused.attempt() == asking.decode().attempt() ->
                onDecodeGrantLost(asking.decode(), asking.prefill(), refused.failure());
            case Lost lost
            when lost.attempt() == asking.decode().attempt() ->
                onDecodeGrantLost(asking.decode(), asking.prefill(), lost.failure());
            default -> {}
        }
    }

    private void onPrefilling(ModelState.Prefilling prefilling, RequestEvent event) {
        switch (event) {
            case PrefillDone done
            when done.attempt() == prefilling.prefill().attempt() ->
                startDecode(prefilling.decode(), Optional.of(done.cache()));
            case Refused refused
            when refused.attempt() == prefilling.prefill().attempt() -> onPrefillFailed(prefilling, refused.failure());
            case ResponseFailed failed
            when failed.attempt() == prefilling.prefill().attempt() -> onPrefillFailed(prefilling, failed.failure());
            case Lost lost
            when lost.attempt() == prefilling.prefill().attempt() -> onPrefillFailed(prefilling, lost.failure());
            case Refused refused
            when refused.attempt() == prefilling.decode().attempt() ->
                onDecodeGrantLost(prefilling.decode(), prefilling.prefill(), refused.failure());
            case Lost lost
            when lost.attempt() == prefilling.decode().attempt() ->
                onDecodeGrantLost(prefilling.decode(), prefilling.prefill(), lost.failure());
            default -> {}
        }
    }

    private void onDecoding(ModelState.Decoding decoding, RequestEvent event) {
        switch (event) {
            case ResponseCompleted completed
            when completed.attempt() == decoding.decode().attempt() -> complete(Optional.empty());
            case ResponseFailed failed
            when failed.attempt() == decoding.decode().attempt() -> {
                actions.add(new Cancel(failed.attempt(), failed.failure().code()));
                onDecodeFailed(decoding.decode(), failed.failure());
            }
            case Refused refused
            when refused.attempt() == decoding.decode().attempt() ->
                onDecodeFailed(decoding.decode(), refused.failure());
            case Lost lost
            when lost.attempt() == decoding.decode().attempt() -> onDecodeLost(decoding.decode(), lost.failure());
            default -> {}
        }
    }

    private void onAwaitingRevisions(RequestEvent event) {
        if (event instanceof RevisionsWaitEnded awaited && awaited.reached()) {
            requestDecodeGrant(Charge.FREE);
        } else if (event instanceof RevisionsWaitEnded) {
            complete(Optional.of(refusals.noInstanceLeft(executionState)));
        }
    }

    private void onAwaitingInstance(RequestEvent event) {
        if (event instanceof InstanceWaitEnded) {
            excludedDecodes.clear();
            lastFailedInstance.ifPresent(excludedDecodes::add);
            excludedPrefills.clear();
            requestDecodeGrant(retryCharge());
        }
    }

    // ------------------------------------------------------------------ internals: steps

    private void requestDecodeGrant(Charge charge) {
        Either<Failure, Attempt> requested = requestGrant(InstanceRole.DECODE, excludedDecodes, charge);
        if (requested.isRight()) {
            state = new ModelState.AskingDecode(requested.get());
        } else {
            awaitInstance(requested.getLeft());
        }
    }

    private void onDecodeGranted(Attempt decode) {
        boolean isResumedInPlace =
                resumingInstance.filter(decode.instance().name()::equals).isPresent();
        if (isResumedInPlace || failedTransfers >= FAILED_TRANSFERS_BEFORE_LOCAL_PREFILL) {
            startDecode(decode, Optional.empty());
        } else {
            requestPrefillGrant(decode, Charge.FREE);
        }
    }

    private void requestPrefillGrant(Attempt decode, Charge charge) {
        Either<Failure, Attempt> requested = requestGrant(InstanceRole.PREFILL, excludedPrefills, charge);
        if (requested.isRight()) {
            state = new ModelState.AskingPrefill(decode, requested.get());
        } else {
            actions.add(new Release(decode.attempt()));
            awaitInstance(requested.getLeft());
        }
    }

    private void startDecode(Attempt decode, Optional<CacheHandle> cache) {
        actions.add(new ExecuteDecode(decode.attempt(), cache));
        executionState = ExecutionState.UNKNOWN;
        responseStarted = true;
        state = new ModelState.Decoding(decode);
    }

    private void onDecodeRefused(Attempt decode, Failure failure) {
        if (failure.code() == ResultCode.REVISION_BEHIND) {
            refusals.add(failure);
            actions.add(new AwaitRevisions());
            state = new ModelState.AwaitingRevisions();
        } else {
            unreachableInstances += failure.code() == ResultCode.UPSTREAM_UNREACHABLE ? 1 : 0;
            tryNextDecode(decode, failure);
        }
    }

    private void onDecodeUnreachable(Attempt decode, Failure failure) {
        unreachableInstances += RefusalSummary.isConnectionEnd(failure) ? 0 : 1;
        if (mayReconnect(decode, failure)) {
            state = new ModelState.AskingDecode(requestGrantOnNewConnection(decode, InstanceRole.DECODE));
        } else {
            tryNextDecode(decode, failure);
        }
    }

    private void onPrefillUnreachable(ModelState.AskingPrefill asking, Failure failure) {
        if (mayReconnect(asking.prefill(), failure)) {
            state = new ModelState.AskingPrefill(
                    asking.decode(), requestGrantOnNewConnection(asking.prefill(), InstanceRole.PREFILL));
        } else {
            tryNextPrefill(asking, failure);
        }
    }

    /**
     * The engine may still have the KV cache of the request, so the same sidecar is tried first, on another connection.
     */
    private void onDecodeLost(Attempt decode, Failure failure) {
        if (mayReconnect(decode, failure)) {
            resumptions++;
            resumingInstance = Optional.of(decode.instance().name());
            state = new ModelState.AskingDecode(requestGrantOnNewConnection(decode, InstanceRole.DECODE));
        } else {
            onDecodeFailed(decode, failure);
        }
    }

    private void tryNextDecode(Attempt decode, Failure failure) {
        resumingInstance = Optional.empty();
        excludedDecodes.add(decode.instance().name());
        restart(failure);
    }

    private void tryNextPrefill(ModelState.AskingPrefill asking, Failure failure) {
        refusals.add(failure);
        excludedPrefills.add(asking.prefill().instance().name());
        if (RefusalSummary.isFinal(failure)) {
            actions.add(new Release(asking.decode().attempt()));
            complete(Optional.of(failure.withExecutionState(executionState)));
        } else {
            requestPrefillGrant(asking.decode(), retryCharge());
        }
    }

    private void onPrefillFailed(ModelState.Prefilling prefilling, Failure failure) {
        actions.add(new Release(prefilling.decode().attempt()));
        excludedPrefills.add(prefilling.prefill().instance().name());
        restart(failure);
    }

    /** Cancels the prefill, whose result cannot be used after the decode grant is lost. */
    private void onDecodeGrantLost(Attempt decode, Attempt prefill, Failure failure) {
        actions.add(new Cancel(prefill.attempt(), ResultCode.CANCELLED));
        if (failure.code() == ResultCode.GRANT_EXPIRED) {
            restart(failure);
        } else {
            onDecodeUnreachable(decode, failure);
        }
    }

    /** Clears earlier exclusions, since instances that were full when the request started may have capacity now. */
    private void onDecodeFailed(Attempt decode, Failure failure) {
        resumingInstance = Optional.empty();
        excludedDecodes.clear();
        excludedPrefills.clear();
        switch (failure.code()) {
            case TRANSFER_FAILED -> failedTransfers++;
            case GRANT_EXPIRED, GRANT_UNKNOWN -> {}
            default -> {
                resumptions++;
                excludedDecodes.add(decode.instance().name());
                lastFailedInstance = Optional.of(decode.instance().name())
                        .filter(instance -> !RefusalSummary.isConnectionEnd(failure));
            }
        }
        restart(failure);
    }

    /**
     * The first resumptions of a response are free: the caller already has a part of it, and their number is bounded.
     */
    private Charge retryCharge() {
        boolean isFree = resumptions > 0 && resumptions <= FREE_RESUMPTIONS;
        return isFree ? Charge.FREE : Charge.BUDGET;
    }

    private void restart(Failure failure) {
        refusals.add(failure);
        if (RefusalSummary.isFinal(failure)) {
            complete(Optional.of(failure.withExecutionState(executionState)));
        } else {
            requestDecodeGrant(retryCharge());
        }
    }

    /**
     * A response that has started waits for an instance for a bounded time, except for the instance whose engine failed
     * last. A request whose response has not started fails immediately.
     */
    private void awaitInstance(Failure noInstanceLeft) {
        boolean mayWait = responseStarted
                && noInstanceLeft.code() != ResultCode.RETRY_BUDGET_SPENT
                && hasAttemptsLeft()
                && instanceWaitMillis < MAXIMUM_INSTANCE_WAIT_MILLIS;
        if (mayWait) {
            instanceWaitMillis += INSTANCE_POLL_INTERVAL_MILLIS;
            actions.add(new AwaitInstance(INSTANCE_POLL_INTERVAL_MILLIS));
            state = new ModelState.AwaitingInstance();
        } else {
            complete(Optional.of(noInstanceLeft));
        }
    }

    /**
     * Attempts at which a sidecar or its engine could not be reached are not counted once a started response has waited
     * for an instance.
     */
    private boolean hasAttemptsLeft() {
        int uncounted = instanceWaitMillis > 0 ? unreachableInstances : 0;
        return attempts - uncounted < MAXIMUM_ATTEMPTS;
    }

    private void giveUp(Failure failure) {
        for (Attempt open : state.openAttempts()) {
            actions.add(new Cancel(open.attempt(), failure.code()));
        }
        complete(Optional.of(failure.withExecutionState(executionState)));
    }

    private void complete(Optional<Failure> failure) {
        state = new ModelState.Settled();
        actions.add(new Complete(failure));
    }

    /**
     * Allows one more connection to the same instance, since a network device in between may have dropped the
     * connection. After an execute message was sent, more reconnections are allowed.
     */
    private boolean mayReconnect(Attempt attempt, Failure failure) {
        return RefusalSummary.isConnectionEnd(failure)
                && hasAttemptsLeft()
                && reconnections.merge(attempt.instance().name(), 1, Integer::sum) <= allowedReconnections();
    }

    private int allowedReconnections() {
        return executionState == ExecutionState.NOT_RUN ? 1 : FREE_RESUMPTIONS;
    }

    private Attempt requestGrantOnNewConnection(Attempt lost, InstanceRole role) {
        Attempt retry = new Attempt(++attempts, lost.instance());
        actions.add(new RequestGrant(retry.attempt(), role, retry.instance()));
        return retry;
    }

    private Either<Failure, Attempt> requestGrant(InstanceRole role, Set<InstanceName> excluded, Charge charge) {
        Optional<Instance> instance = hasAttemptsLeft() ? placement.place(role, excluded) : Optional.empty();
        if (instance.isEmpty()) {
            return Either.left(refusals.noInstanceLeft(executionState));
        }
        if (charge == Charge.BUDGET && !placement.tryRetry()) {
            return Either.left(refusals.retryBudgetExhausted(executionState));
        }
        Attempt attempt = new Attempt(++attempts, instance.get());
        actions.add(new RequestGrant(attempt.attempt(), role, attempt.instance()));
        return Either.right(attempt);
    }

    private List<RequestAction> drainActions() {
        List<RequestAction> drained = List.copyOf(actions);
        actions.clear();
        return drained;
    }

    /** Whether requesting a grant uses the retry budget. */
    private enum Charge {
        /** Not charged: the first attempt of its kind, or a free resumption of a response that has started. */
        FREE,
        /** Charged to the retry budget. */
        BUDGET
    }
}
