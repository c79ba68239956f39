package org.merlinwood.entry.machine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.entry.machine.RequestAction.AwaitRevisions;
import org.merlinwood.entry.machine.RequestAction.Cancel;
import org.merlinwood.entry.machine.RequestAction.ExecutePlain;
import org.merlinwood.entry.machine.RequestAction.RequestGrant;
import org.merlinwood.entry.machine.RequestAction.Settle;
import org.merlinwood.entry.machine.RequestEvent.GivenUp;
import org.merlinwood.entry.machine.RequestEvent.Granted;
import org.merlinwood.entry.machine.RequestEvent.Lost;
import org.merlinwood.entry.machine.RequestEvent.Refused;
import org.merlinwood.entry.machine.RequestEvent.ResponseCompleted;
import org.merlinwood.entry.machine.RequestEvent.ResponseFailed;
import org.merlinwood.entry.machine.RequestEvent.RevisionsAwaited;

/**
 * Decides what is done for one call of a plain service.
 *
 * <p>Before execute, any attempt that was refused or lost may be followed by another one, at an instance that the key
 * allows. From execute on only an idempotent call is sent again; any other ends with what its sidecar says, or, if that
 * says nothing, with an unknown outcome. Not thread-safe: used by the control thread only.
 */
public final class PlainMachine implements RequestMachine {

    /** Grants that one request asks for at most. */
    public static final int MAXIMUM_ATTEMPTS = 6;

    private final Placement placement;
    private final Binding binding;
    private final RefusalSummary refusals;
    private final Set<InstanceName> excluded = new HashSet<>();
    private final Set<InstanceName> reconnected = new HashSet<>();
    private final List<RequestAction> actions = new ArrayList<>();
    private State state = new State.Created();
    private int attempts;
    private boolean mayHaveRun;

    /** What the request's key allows. */
    public enum Binding {
        /** Idempotent: any instance, more than once. */
        ANY_REPEATED,
        /** Any instance until one is told to execute. */
        ANY_ONCE,
        /** Only the home of the caller's own key, and once. */
        KEY_HOME,
        /** Only the instance that a minted key names, and once. */
        MINTED_INSTANCE
    }

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates the machine of one request.
     *
     * @param placement the decisions; where the key allows one instance only it names that
     * @param binding what the request's key allows
     */
    public PlainMachine(Placement placement, Binding binding) {
        this.placement = placement;
        this.binding = binding;
        this.refusals = new RefusalSummary(placement);
    }

    // ------------------------------------------------------------------ public API

    @Override
    public List<RequestAction> start() {
        placement.firstAttempt();
        place(false);
        return takeActions();
    }

    @Override
    public List<RequestAction> handle(RequestEvent event) {
        if (event instanceof GivenUp givenUp && !(state instanceof State.Settled)) {
            giveUp(givenUp.failure());
            return takeActions();
        }
        switch (state) {
            case State.Asking asking -> onAsking(asking, event);
            case State.Executing executing -> onExecuting(executing, event);
            case State.AwaitingRevisions awaiting -> onAwaitingRevisions(event);
            case State.Created created -> throw new IllegalStateException("an event before the start: " + event);
            case State.Settled settled -> {}
        }
        return takeActions();
    }

    @Override
    public String stateName() {
        return state.getClass().getSimpleName();
    }

    // ------------------------------------------------------------------ internals: a method for each state

    private void onAsking(State.Asking asking, RequestEvent event) {
        switch (event) {
            case Granted granted
            when granted.attempt() == asking.attempt() -> {
                actions.add(new ExecutePlain(granted.attempt()));
                state = new State.Executing(asking.attempt(), asking.instance());
            }
            case Refused refused
            when refused.attempt() == asking.attempt() -> refusedBeforeExecute(asking, refused.failure());
            case Lost lost when lost.attempt() == asking.attempt() -> lostBeforeExecute(asking, lost.failure());
            default -> {}
        }
    }

    private void onExecuting(State.Executing executing, RequestEvent event) {
        switch (event) {
            case ResponseCompleted whole when whole.attempt() == executing.attempt() -> settle(Optional.empty());
            case ResponseFailed failed
            when failed.attempt() == executing.attempt() -> endedAfterExecute(executing, failed.failure());
            case Refused refused
            when refused.attempt() == executing.attempt() -> endedAfterExecute(executing, refused.failure());
            case Lost lost when lost.attempt() == executing.attempt() -> lostAfterExecute(executing, lost.failure());
            default -> {}
        }
    }

    private void onAwaitingRevisions(RequestEvent event) {
        if (event instanceof RevisionsAwaited awaited && awaited.inForce()) {
            place(false);
        } else if (event instanceof RevisionsAwaited) {
            settle(Optional.of(refusals.noInstanceLeft(execution())));
        }
    }

    // ------------------------------------------------------------------ internals: steps

    private void place(boolean isRepeated) {
        Optional<Instance> instance =
                attempts < MAXIMUM_ATTEMPTS ? placement.place(InstanceRole.PLAIN, excluded) : Optional.empty();
        if (instance.isEmpty()) {
            settle(Optional.of(noneLeft()));
        } else if (isRepeated && !placement.tryRetry()) {
            settle(Optional.of(refusals.retryBudgetExhausted(execution())));
        } else {
            ask(instance.get());
        }
    }

    private void ask(Instance instance) {
        attempts++;
        state = new State.Asking(attempts, instance);
        actions.add(new RequestGrant(attempts, InstanceRole.PLAIN, instance));
    }

    /** Something between the two ends may have lost track of the connection: another one is tried once. */
    private boolean mayReconnect(Instance instance, Failure failure) {
        return RefusalSummary.isConnectionEnd(failure)
                && attempts < MAXIMUM_ATTEMPTS
                && reconnected.add(instance.name());
    }

    private boolean isBound() {
        return binding == Binding.KEY_HOME || binding == Binding.MINTED_INSTANCE;
    }

    private Failure noneLeft() {
        return switch (binding) {
            case ANY_REPEATED, ANY_ONCE -> refusals.noInstanceLeft(execution());
            case KEY_HOME ->
                homeUnreachable(Failure.of(ResultCode.NO_INSTANCE, "the inventory names no instance for the key"));
            case MINTED_INSTANCE ->
                Failure.of(ResultCode.OUTCOME_UNKNOWN, "the instance that the key names has left the inventory");
        };
    }

    private void refusedBeforeExecute(State.Asking asking, Failure failure) {
        if (failure.code() == ResultCode.REVISION_BEHIND) {
            refusals.add(failure);
            actions.add(new AwaitRevisions());
            state = new State.AwaitingRevisions();
        } else if (isBound() || RefusalSummary.isFinal(failure)) {
            settle(Optional.of(reportedFailure(failure)));
        } else {
            next(asking.instance(), failure);
        }
    }

    private void lostBeforeExecute(State.Asking asking, Failure failure) {
        if (mayReconnect(asking.instance(), failure)) {
            ask(asking.instance());
        } else if (isBound()) {
            settle(Optional.of(homeUnreachable(failure)));
        } else {
            next(asking.instance(), failure);
        }
    }

    private void endedAfterExecute(State.Executing executing, Failure failure) {
        mayHaveRun |= failure.executionState() != ExecutionState.NOT_RUN;
        if (binding == Binding.ANY_REPEATED && !RefusalSummary.isFinal(failure)) {
            next(executing.instance(), failure);
        } else {
            settle(Optional.of(reportedFailure(failure)));
        }
    }

    private void lostAfterExecute(State.Executing executing, Failure failure) {
        if (failure.executionState() == ExecutionState.NOT_RUN) {
            lostBeforeExecute(new State.Asking(executing.attempt(), executing.instance()), failure);
        } else if (binding == Binding.ANY_REPEATED) {
            mayHaveRun = true;
            next(executing.instance(), failure);
        } else {
            settle(Optional.of(Failure.of(
                    ResultCode.OUTCOME_UNKNOWN, "the call was handed over, and its outcome was not heard of")));
        }
    }

    private void next(Instance instance, Failure failure) {
        refusals.add(failure);
        excluded.add(instance.name());
        place(true);
    }

    private Failure homeUnreachable(Failure cause) {
        return refusals.retryLater(
                new Failure(ResultCode.KEY_HOME_UNREACHABLE, cause.detail(), execution(), Failure.NO_RETRY));
    }

    /**
     * Returns what this machine knows on its own. An earlier request may have had the key that a caller sent, and only
     * the instance of the key knows of it.
     */
    private ExecutionState execution() {
        boolean isOpen = isBound() || mayHaveRun || state instanceof State.Executing;
        return isOpen ? ExecutionState.UNKNOWN : ExecutionState.NOT_RUN;
    }

    /** Passes on what a sidecar said. It speaks of its own attempt, or of all attempts with the key of the request. */
    private Failure reportedFailure(Failure failure) {
        boolean isNarrower = !isBound() && mayHaveRun && failure.executionState() == ExecutionState.NOT_RUN;
        Failure judged = isNarrower ? failure.withExecutionState(ExecutionState.UNKNOWN) : failure;
        return judged.retryAfterMillis() == Failure.NO_RETRY ? judged : refusals.retryLater(judged);
    }

    private void giveUp(Failure failure) {
        switch (state) {
            case State.Asking asking -> actions.add(new Cancel(asking.attempt(), failure.code()));
            case State.Executing executing -> actions.add(new Cancel(executing.attempt(), failure.code()));
            default -> {}
        }
        settle(Optional.of(failure.withExecutionState(execution())));
    }

    private void settle(Optional<Failure> failure) {
        state = new State.Settled();
        actions.add(new Settle(failure));
    }

    private List<RequestAction> takeActions() {
        List<RequestAction> taken = List.copyOf(actions);
        actions.clear();
        return taken;
    }

    /** Where the request stands. */
    private sealed interface State {

        record Created() implements State {}

        record Asking(int attempt, Instance instance) implements State {}

        record Executing(int attempt, Instance instance) implements State {}

        record AwaitingRevisions() implements State {}

        record Settled() implements State {}
    }
}
