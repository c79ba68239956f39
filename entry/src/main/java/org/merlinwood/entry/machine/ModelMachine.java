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
import org.merlinwood.entry.machine.RequestAction.ExecuteDecode;
import org.merlinwood.entry.machine.RequestAction.ExecutePrefill;
import org.merlinwood.entry.machine.RequestAction.Release;
import org.merlinwood.entry.machine.RequestAction.RequestGrant;
import org.merlinwood.entry.machine.RequestAction.Settle;
import org.merlinwood.entry.machine.RequestEvent.GivenUp;
import org.merlinwood.entry.machine.RequestEvent.Granted;
import org.merlinwood.entry.machine.RequestEvent.InstanceAwaited;
import org.merlinwood.entry.machine.RequestEvent.Lost;
import org.merlinwood.entry.machine.RequestEvent.PrefillDone;
import org.merlinwood.entry.machine.RequestEvent.Refused;
import org.merlinwood.entry.machine.RequestEvent.ResponseCompleted;
import org.merlinwood.entry.machine.RequestEvent.ResponseFailed;
import org.merlinwood.entry.machine.RequestEvent.RevisionsAwaited;
import org.merlinwood.wire.CacheHandle;

/**
 * Decides what is done for one model request.
 *
 * <p>The decode grant comes first, since decode memory is scarce; then a prefill grant, the prefill, and at once the
 * decode. A prefill that fails gives the decode grant back, and the request begins again. A decode that fails begins
 * again as well, behind the tokens that the caller has. An instance whose connection ended is asked once more on
 * another connection. Apart from that, and from the first resumptions of an answer, each beginning after the first and
 * each further candidate spends the budget for repeated attempts. Not thread-safe: used by the control thread only.
 */
public final class ModelMachine implements RequestMachine {

    /** Grants that one request asks for at most. */
    public static final int MAXIMUM_ATTEMPTS = 12;

    /** Failed transfers after which the decode engine is left to prefill on its own. */
    private static final int TRANSFERS_BEFORE_OWN_PREFILL = 2;

    /** Resumptions of one answer that do not spend the budget for repeated attempts. */
    private static final int OWED_RESUMPTIONS = 3;

    /** How long a begun answer waits before an instance is looked for again. */
    private static final long INSTANCE_POLL_MILLIS = 250;

    /** How long a begun answer waits for an instance in all. */
    private static final long INSTANCE_WAIT_MILLIS = 3_000;

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
    private int unreached;
    private long awaitedMillis;
    private boolean answerBegan;
    private Optional<InstanceName> brokeAt = Optional.empty();
    private Optional<InstanceName> resumedAt = Optional.empty();
    private ExecutionState execution = ExecutionState.NOT_RUN;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates the machine of one request.
     *
     * @param placement the decisions
     */
    public ModelMachine(Placement placement) {
        this.placement = placement;
        this.refusals = new RefusalSummary(placement);
    }

    // ------------------------------------------------------------------ public API

    @Override
    public List<RequestAction> start() {
        placement.firstAttempt();
        askDecode(Charge.FREE);
        return takeActions();
    }

    @Override
    public List<RequestAction> handle(RequestEvent event) {
        if (event instanceof GivenUp givenUp && !(state instanceof ModelState.Settled)) {
            giveUp(givenUp.failure());
            return takeActions();
        }
        switch (state) {
            case ModelState.AskingDecode asking -> onAskingDecode(asking, event);
            case ModelState.AskingPrefill asking -> onAskingPrefill(asking, event);
            case ModelState.Prefilling prefilling -> onPrefilling(prefilling, event);
            case ModelState.Decoding decoding -> onDecoding(decoding, event);
            case ModelState.AwaitingRevisions awaiting -> onAwaitingRevisions(event);
            case ModelState.AwaitingInstance awaiting -> onAwaitingInstance(event);
            case ModelState.Created created -> throw new IllegalStateException("an event before the start: " + event);
            case ModelState.Settled settled -> {}
        }
        return takeActions();
    }

    @Override
    public String stateName() {
        return state.getClass().getSimpleName();
    }

    // ------------------------------------------------------------------ internals: a method for each state

    private void onAskingDecode(ModelState.AskingDecode asking, RequestEvent event) {
        switch (event) {
            case Granted granted when granted.attempt() == asking.decode().attempt() -> decodeGranted(asking.decode());
            case Refused refused
            when refused.attempt() == asking.decode().attempt() -> decodeRefused(asking.decode(), refused.failure());
            case Lost lost
            when lost.attempt() == asking.decode().attempt() -> decodeUnreached(asking.decode(), lost.failure());
            default -> {}
        }
    }

    private void onAskingPrefill(ModelState.AskingPrefill asking, RequestEvent event) {
        switch (event) {
            case Granted granted
            when granted.attempt() == asking.prefill().attempt() -> {
                actions.add(new ExecutePrefill(granted.attempt()));
                execution = ExecutionState.UNKNOWN;
                state = new ModelState.Prefilling(asking.decode(), asking.prefill());
            }
            case Refused refused
            when refused.attempt() == asking.prefill().attempt() -> nextPrefill(asking, refused.failure());
            case Lost lost
            when lost.attempt() == asking.prefill().attempt() -> prefillUnreached(asking, lost.failure());
            case Refused refused
            when refused.attempt() == asking.decode().attempt() ->
                decodeLapsed(asking.decode(), asking.prefill(), refused.failure());
            case Lost lost
            when lost.attempt() == asking.decode().attempt() ->
                decodeLapsed(asking.decode(), asking.prefill(), lost.failure());
            default -> {}
        }
    }

    private void onPrefilling(ModelState.Prefilling prefilling, RequestEvent event) {
        switch (event) {
            case PrefillDone done
            when done.attempt() == prefilling.prefill().attempt() ->
                decode(prefilling.decode(), Optional.of(done.cache()));
            case Refused refused
            when refused.attempt() == prefilling.prefill().attempt() -> prefillFailed(prefilling, refused.failure());
            case ResponseFailed failed
            when failed.attempt() == prefilling.prefill().attempt() -> prefillFailed(prefilling, failed.failure());
            case Lost lost
            when lost.attempt() == prefilling.prefill().attempt() -> prefillFailed(prefilling, lost.failure());
            case Refused refused
            when refused.attempt() == prefilling.decode().attempt() ->
                decodeLapsed(prefilling.decode(), prefilling.prefill(), refused.failure());
            case Lost lost
            when lost.attempt() == prefilling.decode().attempt() ->
                decodeLapsed(prefilling.decode(), prefilling.prefill(), lost.failure());
            default -> {}
        }
    }

    private void onDecoding(ModelState.Decoding decoding, RequestEvent event) {
        switch (event) {
            case ResponseCompleted whole
            when whole.attempt() == decoding.decode().attempt() -> settle(Optional.empty());
            case ResponseFailed failed
            when failed.attempt() == decoding.decode().attempt() -> {
                actions.add(new Cancel(failed.attempt(), failed.failure().code()));
                decodeFailed(decoding.decode(), failed.failure());
            }
            case Refused refused
            when refused.attempt() == decoding.decode().attempt() -> decodeFailed(decoding.decode(), refused.failure());
            case Lost lost
            when lost.attempt() == decoding.decode().attempt() -> decodeLost(decoding.decode(), lost.failure());
            default -> {}
        }
    }

    private void onAwaitingRevisions(RequestEvent event) {
        if (event instanceof RevisionsAwaited awaited && awaited.inForce()) {
            askDecode(Charge.FREE);
        } else if (event instanceof RevisionsAwaited) {
            settle(Optional.of(refusals.noInstanceLeft(execution)));
        }
    }

    private void onAwaitingInstance(RequestEvent event) {
        if (event instanceof InstanceAwaited) {
            excludedDecodes.clear();
            brokeAt.ifPresent(excludedDecodes::add);
            excludedPrefills.clear();
            askDecode(repeatedCharge());
        }
    }

    // ------------------------------------------------------------------ internals: steps

    private void askDecode(Charge charge) {
        Either<Failure, Attempt> asked = ask(InstanceRole.DECODE, excludedDecodes, charge);
        if (asked.isRight()) {
            state = new ModelState.AskingDecode(asked.get());
        } else {
            awaitInstance(asked.getLeft());
        }
    }

    private void decodeGranted(Attempt decode) {
        boolean isResumedInPlace =
                resumedAt.filter(decode.instance().name()::equals).isPresent();
        if (isResumedInPlace || failedTransfers >= TRANSFERS_BEFORE_OWN_PREFILL) {
            decode(decode, Optional.empty());
        } else {
            askPrefill(decode, Charge.FREE);
        }
    }

    private void askPrefill(Attempt decode, Charge charge) {
        Either<Failure, Attempt> asked = ask(InstanceRole.PREFILL, excludedPrefills, charge);
        if (asked.isRight()) {
            state = new ModelState.AskingPrefill(decode, asked.get());
        } else {
            actions.add(new Release(decode.attempt()));
            awaitInstance(asked.getLeft());
        }
    }

    private void decode(Attempt decode, Optional<CacheHandle> cache) {
        actions.add(new ExecuteDecode(decode.attempt(), cache));
        execution = ExecutionState.UNKNOWN;
        answerBegan = true;
        state = new ModelState.Decoding(decode);
    }

    private void decodeRefused(Attempt decode, Failure failure) {
        if (failure.code() == ResultCode.REVISION_BEHIND) {
            refusals.add(failure);
            actions.add(new AwaitRevisions());
            state = new ModelState.AwaitingRevisions();
        } else {
            nextDecode(decode, failure);
        }
    }

    private void decodeUnreached(Attempt decode, Failure failure) {
        unreached += RefusalSummary.isConnectionEnd(failure) ? 0 : 1;
        if (mayReconnect(decode, failure)) {
            state = new ModelState.AskingDecode(askAgain(decode, InstanceRole.DECODE));
        } else {
            nextDecode(decode, failure);
        }
    }

    private void prefillUnreached(ModelState.AskingPrefill asking, Failure failure) {
        if (mayReconnect(asking.prefill(), failure)) {
            state = new ModelState.AskingPrefill(asking.decode(), askAgain(asking.prefill(), InstanceRole.PREFILL));
        } else {
            nextPrefill(asking, failure);
        }
    }

    /** The engine may still have the request's cache, so its sidecar is asked first, on another connection. */
    private void decodeLost(Attempt decode, Failure failure) {
        if (mayReconnect(decode, failure)) {
            resumptions++;
            resumedAt = Optional.of(decode.instance().name());
            state = new ModelState.AskingDecode(askAgain(decode, InstanceRole.DECODE));
        } else {
            decodeFailed(decode, failure);
        }
    }

    private void nextDecode(Attempt decode, Failure failure) {
        resumedAt = Optional.empty();
        excludedDecodes.add(decode.instance().name());
        beginAgain(failure);
    }

    private void nextPrefill(ModelState.AskingPrefill asking, Failure failure) {
        refusals.add(failure);
        excludedPrefills.add(asking.prefill().instance().name());
        if (RefusalSummary.isFinal(failure)) {
            actions.add(new Release(asking.decode().attempt()));
            settle(Optional.of(failure.withExecutionState(execution)));
        } else {
            askPrefill(asking.decode(), repeatedCharge());
        }
    }

    private void prefillFailed(ModelState.Prefilling prefilling, Failure failure) {
        actions.add(new Release(prefilling.decode().attempt()));
        excludedPrefills.add(prefilling.prefill().instance().name());
        beginAgain(failure);
    }

    /** The decode grant went away while the prefill was under way, which would be wasted now. */
    private void decodeLapsed(Attempt decode, Attempt prefill, Failure failure) {
        actions.add(new Cancel(prefill.attempt(), ResultCode.CANCELLED));
        if (failure.code() == ResultCode.GRANT_EXPIRED) {
            beginAgain(failure);
        } else {
            decodeUnreached(decode, failure);
        }
    }

    /** Earlier exclusions end here: what was full when the request began may have room by now. */
    private void decodeFailed(Attempt decode, Failure failure) {
        resumedAt = Optional.empty();
        excludedDecodes.clear();
        excludedPrefills.clear();
        switch (failure.code()) {
            case TRANSFER_FAILED -> failedTransfers++;
            case GRANT_EXPIRED, GRANT_UNKNOWN -> {}
            default -> {
                resumptions++;
                excludedDecodes.add(decode.instance().name());
                brokeAt = Optional.of(decode.instance().name())
                        .filter(instance -> !RefusalSummary.isConnectionEnd(failure));
            }
        }
        beginAgain(failure);
    }

    /**
     * A begun answer is owed to its caller, and each is resumed a few times at most, so it is not the budget's to end.
     */
    private Charge repeatedCharge() {
        boolean isOwed = resumptions > 0 && resumptions <= OWED_RESUMPTIONS;
        return isOwed ? Charge.FREE : Charge.BUDGET;
    }

    private void beginAgain(Failure failure) {
        refusals.add(failure);
        if (RefusalSummary.isFinal(failure)) {
            settle(Optional.of(failure.withExecutionState(execution)));
        } else {
            askDecode(repeatedCharge());
        }
    }

    /**
     * A begun answer waits a little for an instance, though not for the one whose engine broke it off last; a request
     * that has not begun gets its final answer at once.
     */
    private void awaitInstance(Failure noneLeft) {
        boolean isWorthIt = answerBegan
                && noneLeft.code() != ResultCode.RETRY_BUDGET_SPENT
                && hasAttemptsLeft()
                && awaitedMillis < INSTANCE_WAIT_MILLIS;
        if (isWorthIt) {
            awaitedMillis += INSTANCE_POLL_MILLIS;
            actions.add(new AwaitInstance(INSTANCE_POLL_MILLIS));
            state = new ModelState.AwaitingInstance();
        } else {
            settle(Optional.of(noneLeft));
        }
    }

    /** Connections that could not be opened while a begun answer waits are not counted. */
    private boolean hasAttemptsLeft() {
        int uncounted = awaitedMillis > 0 ? unreached : 0;
        return attempts - uncounted < MAXIMUM_ATTEMPTS;
    }

    private void giveUp(Failure failure) {
        for (Attempt open : state.openAttempts()) {
            actions.add(new Cancel(open.attempt(), failure.code()));
        }
        settle(Optional.of(failure.withExecutionState(execution)));
    }

    private void settle(Optional<Failure> failure) {
        state = new ModelState.Settled();
        actions.add(new Settle(failure));
    }

    /**
     * Something between the two ends may have lost track of the connection: another one is tried once, and a few times
     * for an answer that has begun.
     */
    private boolean mayReconnect(Attempt attempt, Failure failure) {
        return RefusalSummary.isConnectionEnd(failure)
                && hasAttemptsLeft()
                && reconnections.merge(attempt.instance().name(), 1, Integer::sum) <= allowedReconnections();
    }

    private int allowedReconnections() {
        return execution == ExecutionState.NOT_RUN ? 1 : OWED_RESUMPTIONS;
    }

    private Attempt askAgain(Attempt lost, InstanceRole role) {
        Attempt again = new Attempt(++attempts, lost.instance());
        actions.add(new RequestGrant(again.attempt(), role, again.instance()));
        return again;
    }

    private Either<Failure, Attempt> ask(InstanceRole role, Set<InstanceName> excluded, Charge charge) {
        Optional<Instance> instance = hasAttemptsLeft() ? placement.place(role, excluded) : Optional.empty();
        if (instance.isEmpty()) {
            return Either.left(refusals.noInstanceLeft(execution));
        }
        if (charge == Charge.BUDGET && !placement.tryRetry()) {
            return Either.left(refusals.retryBudgetExhausted(execution));
        }
        Attempt attempt = new Attempt(++attempts, instance.get());
        actions.add(new RequestGrant(attempt.attempt(), role, attempt.instance()));
        return Either.right(attempt);
    }

    private List<RequestAction> takeActions() {
        List<RequestAction> taken = List.copyOf(actions);
        actions.clear();
        return taken;
    }

    /** What pays for a grant that is asked for. */
    private enum Charge {
        /** Nothing: the first of its kind, or part of a resumption that the caller of a begun answer is owed. */
        FREE,
        /** The budget for repeated attempts. */
        BUDGET
    }
}
