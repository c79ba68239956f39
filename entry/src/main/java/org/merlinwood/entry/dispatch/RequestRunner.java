package org.merlinwood.entry.dispatch;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.entry.machine.Placement;
import org.merlinwood.entry.machine.RequestAction;
import org.merlinwood.entry.machine.RequestEvent;
import org.merlinwood.entry.machine.RequestMachine;
import org.merlinwood.entry.request.ClassifiedRequest;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.WireValues;
import org.merlinwood.wire.AnswerEnd;
import org.merlinwood.wire.AnswerHead;
import org.merlinwood.wire.AnswerPart;
import org.merlinwood.wire.Load;
import org.merlinwood.wire.PrefillDone;
import org.merlinwood.wire.RequestIdentity;

/**
 * Runs the state machine of one request: performs its actions and passes events to it.
 *
 * <p>Exists from admission to the terminal event. Used by the control thread only, except for the parts of responses,
 * which arrive on event loops and go through the {@link ResponseAssembly}.
 */
final class RequestRunner implements AttemptListener, Placement {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** Reported to the caller after an unexpected exception in this process. */
    static final Failure INTERNAL_FAULT =
            Failure.of(ResultCode.INTERNAL, "an unexpected error occurred; see the log of the entry");

    /** Interval between two checks whether awaited revisions are active. */
    private static final long REVISIONS_POLL_INTERVAL_MILLIS = 20;

    /** Maximum wait for revisions to become active. */
    private static final long REVISIONS_WAIT_MILLIS = 2_000;

    private final ClassifiedRequest request;
    private final RequestSink sink;
    private final DispatchComponents components;
    private final ControlState state;
    private final RequestMessages messages;
    private final ResponseAssembly assembly;
    private final GrantWait grantWait;
    private final TokenTimings timings;
    private final ResponseDelivery delivery;
    private final RequestMachine machine;
    private final Runnable onCompleted;
    private final Map<Integer, UpstreamAttempt> attempts = new HashMap<>();
    private Optional<Future<?>> deadline = Optional.empty();
    private Revisions awaitedRevisions = new Revisions(Revisions.NONE, Revisions.NONE);
    private boolean responseStarted;
    private boolean completed;

    // ------------------------------------------------------------------ life-cycle

    RequestRunner(
            ClassifiedRequest request,
            RequestSink sink,
            DispatchComponents components,
            ControlState state,
            Runnable onCompleted) {
        this.request = request;
        this.sink = sink;
        this.components = components;
        this.state = state;
        this.onCompleted = onCompleted;
        this.messages = new RequestMessages(request, components, state);
        this.assembly = new ResponseAssembly(sink, DispatchComponents.MAXIMUM_RESPONSE_BYTES);
        this.grantWait = new GrantWait(request, state);
        this.timings = new TokenTimings(request, components, state);
        this.delivery = new ResponseDelivery(request, sink, assembly);
        this.machine = RequestMachines.create(request, this);
    }

    void start() {
        deadline = Optional.of(components.control().schedule(Math.max(0, remainingMillis()), this::onDeadlinePassed));
        perform(machine::start);
    }

    // ------------------------------------------------------------------ public API

    void giveUp(Failure failure) {
        perform(() -> machine.handle(new RequestEvent.GivenUp(failure)));
    }

    OpenRequest describe() {
        List<String> instances = attempts.values().stream()
                .filter(UpstreamAttempt::isOpen)
                .map(attempt -> "%d %s %s %s"
                        .formatted(
                                attempt.number(),
                                attempt.role(),
                                attempt.instance().name(),
                                attempt.phase()))
                .toList();
        return new OpenRequest(
                identifier().toString(),
                request.identified().caller().value(),
                request.service().name().value(),
                machine.stateName(),
                ageMillis(),
                remainingMillis(),
                instances);
    }

    // ------------------------------------------------------------------ placement

    @Override
    public Optional<Instance> place(InstanceRole role, Set<InstanceName> excluded) {
        return messages.boundInstance().orElseGet(() -> state.choose(request, role, excluded));
    }

    @Override
    public void recordFirstAttempt() {
        state.retryBudget().firstAttempt();
    }

    @Override
    public boolean tryRetry() {
        boolean allowed = remainingMillis() > 0 && state.retryBudget().tryRetry();
        if (allowed) {
            components.metrics().retry();
        }
        return allowed;
    }

    @Override
    public long retryAfterMillis(long expectedMillis) {
        return state.retryDelay()
                .retryAfterMillis(
                        expectedMillis, request.identified().callerClass().priority());
    }

    // ------------------------------------------------------------------ events of attempts

    @Override
    public void onEvent(UpstreamAttempt attempt, RequestEvent event) {
        if (!attempt.isOpen()) {
            state.recordEnd(request, attempt.role(), attempt.instance().name());
        }
        perform(() -> machine.handle(event));
    }

    @Override
    public void onResponseEnd(UpstreamAttempt attempt, AnswerEnd end) {
        if (end.getCode() != ResultCode.OK.number()) {
            onResponseFailed(attempt, WireValues.fromWire(end));
        } else if (!delivery.isValid()) {
            onResponseFailed(attempt, Failure.of(ResultCode.UPSTREAM_MALFORMED, "the response has no valid status"));
        } else if (assembly.isComplete(attempt.number(), end.getIncarnation(), end.getLength())) {
            delivery.finishReason(end.getFinishReason());
            onEvent(attempt, new RequestEvent.ResponseCompleted(attempt.number()));
        } else {
            onResponseFailed(
                    attempt, Failure.of(ResultCode.UPSTREAM_TRUNCATED, "the response ended before it was complete"));
        }
    }

    @Override
    public void onPrefillDone(UpstreamAttempt attempt, PrefillDone done) {
        timings.prefillDone(attempt.instance().name(), done);
        onEvent(attempt, new RequestEvent.PrefillDone(attempt.number(), done.getCache()));
    }

    @Override
    public void onRefused(UpstreamAttempt attempt, Optional<Load> load, Failure failure) {
        state.recordEnd(request, attempt.role(), attempt.instance().name());
        load.ifPresent(present -> onLoad(attempt, present));
        onFailure(attempt, failure);
        perform(() -> machine.handle(new RequestEvent.Refused(attempt.number(), failure)));
    }

    @Override
    public void onLoad(UpstreamAttempt attempt, Load load) {
        state.observe(request, attempt.role(), attempt.instance().name(), load);
    }

    @Override
    public void onRevisions(PeerConnection connection, Revisions revisions) {
        components.peerRevisions().accept(connection, revisions);
        awaitedRevisions = new Revisions(
                Math.max(awaitedRevisions.inventory(), revisions.inventory()),
                Math.max(awaitedRevisions.rules(), revisions.rules()));
    }

    @Override
    public void onFailure(UpstreamAttempt attempt, Failure failure) {
        if (failure.code() != ResultCode.PEER_SILENT || isRepeatedConnection(attempt)) {
            state.recordFailure(request, attempt.role(), attempt.instance().name(), failure);
        }
    }

    @Override
    public void onHead(UpstreamAttempt attempt, AnswerHead head) {
        if (!isThisRequest(head.getRequest()) || assembly.head(head) == ResponseAssembly.Verdict.FOREIGN) {
            components.metrics().droppedFrame();
        }
    }

    @Override
    public void onPart(UpstreamAttempt attempt, AnswerPart part) {
        ResponseAssembly.Verdict result =
                isThisRequest(part.getRequest()) && part.getRequest().getAttempt() == attempt.number()
                        ? assembly.addPart(part)
                        : ResponseAssembly.Verdict.FOREIGN;
        switch (result) {
            case TAKEN -> timings.recordPart(part);
            case FOREIGN -> components.metrics().droppedFrame();
            case GAP -> failFromEventLoop(attempt, ResultCode.UPSTREAM_TRUNCATED, "a part of the response is missing");
            case TOO_LARGE ->
                failFromEventLoop(attempt, ResultCode.UPSTREAM_MALFORMED, "the response exceeds the size limit");
        }
    }

    // ------------------------------------------------------------------ internals: actions

    /**
     * Aborts the request after an unexpected exception, so that the caller gets a response and the sidecars release
     * their grants.
     */
    private void perform(Supplier<List<RequestAction>> step) {
        try {
            step.get().forEach(this::perform);
        } catch (RuntimeException exception) {
            logger.atSevere().withCause(exception).log("request %s failed unexpectedly", identifier());
            abort();
        }
    }

    private void abort() {
        if (!completed) {
            List.copyOf(attempts.keySet())
                    .forEach(number -> endAttempt(number, open -> open.cancel(ResultCode.INTERNAL)));
            complete(Optional.of(INTERNAL_FAULT));
        }
    }

    private void perform(RequestAction action) {
        switch (action) {
            case RequestAction.RequestGrant grant -> requestGrant(grant);
            case RequestAction.ExecutePrefill execute -> {
                UpstreamAttempt attempt = attempts.get(execute.attempt());
                timings.prefillStarted();
                attempt.execute(messages.prefill(attempt.grantUse()));
            }
            case RequestAction.ExecuteDecode execute -> {
                UpstreamAttempt attempt = startExecution(execute.attempt());
                responseStarted = true;
                timings.decodeStarted(execute);
                attempt.execute(messages.decode(attempt.grantUse(), execute.cache(), assembly.tokensSoFar()));
            }
            case RequestAction.ExecutePlain execute -> {
                UpstreamAttempt attempt = startExecution(execute.attempt());
                attempt.execute(messages.plain(attempt.grantUse(), remainingMillis()));
            }
            case RequestAction.Release release -> endAttempt(release.attempt(), UpstreamAttempt::release);
            case RequestAction.Cancel cancel ->
                endAttempt(cancel.attempt(), attempt -> attempt.cancel(cancel.reason()));
            case RequestAction.AwaitRevisions await -> awaitRevisions(ageMillis() + REVISIONS_WAIT_MILLIS);
            case RequestAction.AwaitInstance await -> awaitInstance(await.millis());
            case RequestAction.Complete complete -> complete(complete.failure());
        }
    }

    private void requestGrant(RequestAction.RequestGrant grant) {
        UpstreamAttempt attempt = new UpstreamAttempt(
                grant.attempt(),
                grant.role(),
                grant.instance(),
                WireValues.toWire(identifier(), grant.attempt()),
                components,
                this);
        attempts.put(grant.attempt(), attempt);
        state.recordStart(request, grant.role(), grant.instance().name());
        long waitMillis = grantWait.millis(grant.role(), responseStarted, remainingMillis(), attempts.values());
        attempt.start(connection -> messages.grantRequest(grant, connection, waitMillis), waitMillis);
    }

    private UpstreamAttempt startExecution(int number) {
        UpstreamAttempt attempt = attempts.get(number);
        assembly.startAttempt(number, attempt.grantUse().getIncarnation());
        return attempt;
    }

    private void endAttempt(int number, Consumer<UpstreamAttempt> ending) {
        UpstreamAttempt attempt = attempts.get(number);
        if (attempt.isOpen()) {
            ending.accept(attempt);
            state.recordEnd(request, attempt.role(), attempt.instance().name());
        }
    }

    private void awaitRevisions(long untilAgeMillis) {
        boolean reached = !components.revisions().get().isBehind(awaitedRevisions);
        if (reached || ageMillis() >= untilAgeMillis) {
            perform(() -> machine.handle(new RequestEvent.RevisionsWaitEnded(reached)));
            return;
        }
        var unused =
                components.control().schedule(REVISIONS_POLL_INTERVAL_MILLIS, () -> awaitRevisions(untilAgeMillis));
    }

    private void awaitInstance(long millis) {
        var unused = components
                .control()
                .schedule(millis, () -> perform(() -> machine.handle(new RequestEvent.InstanceWaitEnded())));
    }

    private void complete(Optional<Failure> failure) {
        completed = true;
        deadline.ifPresent(timer -> timer.cancel(false));
        ResultCode code = failure.map(Failure::code).orElse(ResultCode.OK);
        assembly.end(() -> failure.ifPresentOrElse(sink::failure, delivery::deliver));
        components.metrics().requestEnded(code);
        logger.atInfo().log(
                "request %s of %s to %s: %s after %d ms, %d attempts%s",
                identifier(),
                request.identified().caller(),
                request.service().name(),
                code,
                ageMillis(),
                attempts.size(),
                failure.map(present -> ": " + present.detail()).orElse(""));
        onCompleted.run();
    }

    // ------------------------------------------------------------------ internals: events

    private void onResponseFailed(UpstreamAttempt attempt, Failure failure) {
        onFailure(attempt, failure);
        onEvent(attempt, new RequestEvent.ResponseFailed(attempt.number(), failure));
    }

    /**
     * Returns whether an earlier attempt went to the same instance. One silent connection does not show that the
     * process has failed, a second one is strong evidence.
     */
    private boolean isRepeatedConnection(UpstreamAttempt attempt) {
        return attempts.values().stream()
                .anyMatch(earlier -> earlier.number() < attempt.number()
                        && earlier.instance().name().equals(attempt.instance().name()));
    }

    private void failFromEventLoop(UpstreamAttempt attempt, ResultCode code, String detail) {
        components.control().execute(() -> {
            if (attempt.isOpen()) {
                endAttempt(attempt.number(), open -> open.cancel(code));
                perform(() ->
                        machine.handle(new RequestEvent.ResponseFailed(attempt.number(), Failure.of(code, detail))));
            }
        });
    }

    private void onDeadlinePassed() {
        if (!completed) {
            giveUp(new Failure(
                    ResultCode.DEADLINE_PASSED,
                    "the deadline of the request has passed",
                    ExecutionState.UNKNOWN,
                    retryAfterMillis(0)));
        }
    }

    private boolean isThisRequest(RequestIdentity received) {
        return WireValues.fromWire(received).equals(identifier());
    }

    private RequestIdentifier identifier() {
        return request.identified().accepted().identifier();
    }

    private long ageMillis() {
        return components.clock().monotonicMillis()
                - request.identified().accepted().arrivedMillis();
    }

    private long remainingMillis() {
        return request.identified().deadlineMillis() - components.clock().monotonicMillis();
    }
}
