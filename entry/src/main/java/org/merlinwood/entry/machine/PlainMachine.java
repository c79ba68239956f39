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
import org.merlinwood.entry.machine.RequestAction.Complete;
import org.merlinwood.entry.machine.RequestAction.ExecutePlain;
import org.merlinwood.entry.machine.RequestAction.RequestGrant;
import org.merlinwood.entry.machine.RequestEvent.GivenUp;
import org.merlinwood.entry.machine.RequestEvent.Granted;
import org.merlinwood.entry.machine.RequestEvent.Lost;
import org.merlinwood.entry.machine.RequestEvent.Refused;
import org.merlinwood.entry.machine.RequestEvent.ResponseCompleted;
import org.merlinwood.entry.machine.RequestEvent.ResponseFailed;
import org.merlinwood.entry.machine.RequestEvent.RevisionsWaitEnded;

/**
 * State machine of a request to a plain service.
 *
 * <p>Until the execute message is sent, a refused or lost attempt may be followed by another one at an instance that
 * the key allows. After that, only idempotent requests are retried. Any other request ends with the outcome reported by
 * its sidecar, or with an unknown outcome if there is no report. Not thread-safe: used by the control thread only.
 */
public final class PlainMachine implements RequestMachine {

    /** Maximum number of grants that one request may request. */
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

    /** Instances and number of executions that the key of the request allows. */
    public enum Binding {
        /** Idempotent request: any instance, more than once. */
        ANY_REPEATED,
        /** Any instance, until the execute message is sent to one of them. */
        ANY_ONCE,
        /** Only the home of the caller's own key, at most once. */
        KEY_HOME,
        /** Only the instance named by a minted key, at most once. */
        MINTED_INSTANCE
    }

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates the state machine of one request.
     *
     * @param placement placement and retry decisions; places the request at the bound instance if the key allows only
     *     one
     * @param binding instances and number of executions that the key allows
     */
    public PlainMachine(Placement placement, Binding binding) {
        this.placement = placement;
        this.binding = binding;
        this.refusals = new RefusalSummary(placement);
    }

    // ------------------------------------------------------------------ public API

    @Override
    public List<RequestAction> start() {
        placement.recordFirstAttempt();
        place(false);
        return drainActions();
    }

    @Override
    public List<RequestAction> handle(RequestEvent event) {
        if (event instanceof GivenUp givenUp && !(state instanceof State.Settled)) {
            giveUp(givenUp.failure());
            return drainActions();
        }
        switch (state) {
            case State.Asking asking -> onAsking(asking, event);
            case State.Executing executing -> onExecuting(executing, event);
            case State.AwaitingRevisions awaiting -> onAwaitingRevisions(event);
            case State.Created created -> throw new IllegalStateException("received an event before start: " + event);
            case State.Settled settled -> {}
        }
        return drainActions();
    }

    @Override
    public String stateName() {
        return state.getClass().getSimpleName();
    }

    // ------------------------------------------------------------------ internals: event handlers, one for each state

    private void onAsking(State.Asking asking, RequestEvent event) {
        switch (event) {
            case Granted granted
            when granted.attempt() == asking.attempt() -> {
                actions.add(new ExecutePlain(granted.attempt()));
                state = new State.Executing(asking.attempt(), asking.instance());
            }
            case Refused refused
            when refused.attempt() == asking.attempt() -> onRefusedBeforeExecute(asking, refused.failure());
            case Lost lost when lost.attempt() == asking.attempt() -> onLostBeforeExecute(asking, lost.failure());
            default -> {}
        }
    }

    private void onExecuting(State.Executing executing, RequestEvent event) {
        switch (event) {
            case ResponseCompleted completed
            when completed.attempt() == executing.attempt() -> complete(Optional.empty());
            case ResponseFailed failed
            when failed.attempt() == executing.attempt() -> onFailedAfterExecute(executing, failed.failure());
            case Refused refused
            when refused.attempt() == executing.attempt() -> onFailedAfterExecute(executing, refused.failure());
            case Lost lost when lost.attempt() == executing.attempt() -> onLostAfterExecute(executing, lost.failure());
            default -> {}
        }
    }

    private void onAwaitingRevisions(RequestEvent event) {
        if (event instanceof RevisionsWaitEnded awaited && awaited.reached()) {
            place(false);
        } else if (event instanceof RevisionsWaitEnded) {
            complete(Optional.of(refusals.noInstanceLeft(executionState())));
        }
    }

    // ------------------------------------------------------------------ internals: steps

    private void place(boolean isRetry) {
        Optional<Instance> instance =
                attempts < MAXIMUM_ATTEMPTS ? placement.place(InstanceRole.PLAIN, excluded) : Optional.empty();
        if (instance.isEmpty()) {
            complete(Optional.of(noInstanceLeft()));
        } else if (isRetry && !placement.tryRetry()) {
            complete(Optional.of(refusals.retryBudgetExhausted(executionState())));
        } else {
            requestGrant(instance.get());
        }
    }

    private void requestGrant(Instance instance) {
        attempts++;
        state = new State.Asking(attempts, instance);
        actions.add(new RequestGrant(attempts, InstanceRole.PLAIN, instance));
    }

    /**
     * Allows one more connection to the same instance, since a network device in between may have dropped the
     * connection.
     */
    private boolean mayReconnect(Instance instance, Failure failure) {
        return RefusalSummary.isConnectionEnd(failure)
                && attempts < MAXIMUM_ATTEMPTS
                && reconnected.add(instance.name());
    }

    private boolean isBound() {
        return binding == Binding.KEY_HOME || binding == Binding.MINTED_INSTANCE;
    }

    private Failure noInstanceLeft() {
        return switch (binding) {
            case ANY_REPEATED, ANY_ONCE -> refusals.noInstanceLeft(executionState());
            case KEY_HOME ->
                homeUnreachable(
                        Failure.of(ResultCode.NO_INSTANCE, "the inventory contains no home instance for the key"));
            case MINTED_INSTANCE ->
                Failure.of(ResultCode.OUTCOME_UNKNOWN, "the instance named by the key is no longer in the inventory");
        };
    }

    private void onRefusedBeforeExecute(State.Asking asking, Failure failure) {
        if (failure.code() == ResultCode.REVISION_BEHIND) {
            refusals.add(failure);
            actions.add(new AwaitRevisions());
            state = new State.AwaitingRevisions();
        } else if (isBound() || RefusalSummary.isFinal(failure)) {
            complete(Optional.of(reportedFailure(failure)));
        } else {
            tryNextInstance(asking.instance(), failure);
        }
    }

    private void onLostBeforeExecute(State.Asking asking, Failure failure) {
        if (mayReconnect(asking.instance(), failure)) {
            requestGrant(asking.instance());
        } else if (isBound()) {
            complete(Optional.of(homeUnreachable(failure)));
        } else {
            tryNextInstance(asking.instance(), failure);
        }
    }

    private void onFailedAfterExecute(State.Executing executing, Failure failure) {
        mayHaveRun |= failure.executionState() != ExecutionState.NOT_RUN;
        if (binding == Binding.ANY_REPEATED && !RefusalSummary.isFinal(failure)) {
            tryNextInstance(executing.instance(), failure);
        } else {
            complete(Optional.of(reportedFailure(failure)));
        }
    }

    private void onLostAfterExecute(State.Executing executing, Failure failure) {
        if (failure.executionState() == ExecutionState.NOT_RUN) {
            onLostBeforeExecute(new State.Asking(executing.attempt(), executing.instance()), failure);
        } else if (binding == Binding.ANY_REPEATED) {
            mayHaveRun = true;
            tryNextInstance(executing.instance(), failure);
        } else {
            complete(Optional.of(Failure.of(
                    ResultCode.OUTCOME_UNKNOWN,
                    "the connection was lost after the request was sent; its outcome is unknown")));
        }
    }

    private void tryNextInstance(Instance instance, Failure failure) {
        refusals.add(failure);
        excluded.add(instance.name());
        place(true);
    }

    private Failure homeUnreachable(Failure cause) {
        return refusals.retryLater(
                new Failure(ResultCode.KEY_HOME_UNREACHABLE, cause.detail(), executionState(), Failure.NO_RETRY));
    }

    /**
     * Returns the execution state known to this state machine. For a key sent by the caller it is unknown, since an
     * earlier request may have used the key and only the instance of the key knows about it.
     */
    private ExecutionState executionState() {
        boolean isUnknown = isBound() || mayHaveRun || state instanceof State.Executing;
        return isUnknown ? ExecutionState.UNKNOWN : ExecutionState.NOT_RUN;
    }

    /**
     * Converts the failure of a sidecar into the one reported to the caller. For bound keys the sidecar's execution
     * state covers all attempts with the key, otherwise only its own attempt.
     */
    private Failure reportedFailure(Failure failure) {
        boolean isOwnAttemptOnly = !isBound() && mayHaveRun && failure.executionState() == ExecutionState.NOT_RUN;
        Failure reported = isOwnAttemptOnly ? failure.withExecutionState(ExecutionState.UNKNOWN) : failure;
        return reported.retryAfterMillis() == Failure.NO_RETRY ? reported : refusals.retryLater(reported);
    }

    private void giveUp(Failure failure) {
        switch (state) {
            case State.Asking asking -> actions.add(new Cancel(asking.attempt(), failure.code()));
            case State.Executing executing -> actions.add(new Cancel(executing.attempt(), failure.code()));
            default -> {}
        }
        complete(Optional.of(failure.withExecutionState(executionState())));
    }

    private void complete(Optional<Failure> failure) {
        state = new State.Settled();
        actions.add(new Complete(failure));
    }

    private List<RequestAction> drainActions() {
        List<RequestAction> drained = List.copyOf(actions);
        actions.clear();
        return drained;
    }

    /** State of the request. The simple names appear in the state dump. */
    private sealed interface State {

        record Created() implements State {}

        record Asking(int attempt, Instance instance) implements State {}

        record Executing(int attempt, Instance instance) implements State {}

        record AwaitingRevisions() implements State {}

        record Settled() implements State {}
    }
}
