package org.merlinwood.entry.dispatch;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicReference;
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
import org.merlinwood.http.HttpHeader;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.WireValues;
import org.merlinwood.wire.AnswerEnd;
import org.merlinwood.wire.AnswerHead;
import org.merlinwood.wire.AnswerPart;
import org.merlinwood.wire.CacheHandle;
import org.merlinwood.wire.Load;
import org.merlinwood.wire.PrefillDone;
import org.merlinwood.wire.RequestIdentity;

/**
 * Runs the state machine of one request: carries out its actions, and feeds it with what happens.
 *
 * <p>Lives from admission to the terminal event. Used by the control thread only, except for the parts of answers,
 * which come on event loops and go through the {@link AnswerAssembly}.
 */
final class RequestRunner implements AttemptListener, Placement {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** The final answer where this program itself is at fault. */
    static final Failure INTERNAL_FAULT = Failure.of(ResultCode.INTERNAL, "an unexpected fault; the log names it");

    /** How often it is looked whether awaited revisions are in force. */
    private static final long REVISIONS_POLL_MILLIS = 20;

    /** How long awaited revisions are waited for. */
    private static final long REVISIONS_WAIT_MILLIS = 2_000;

    private static final int LOWEST_STATUS = 200;
    private static final int HIGHEST_STATUS = 599;

    private final ClassifiedRequest request;
    private final RequestSink sink;
    private final DispatchComponents parts;
    private final ControlState state;
    private final RequestMessages wire;
    private final AnswerAssembly assembly;
    private final RequestMachine machine;
    private final Runnable onSettled;
    private final Map<Integer, UpstreamAttempt> attempts = new HashMap<>();
    private final AtomicReference<Transfer> transfer = new AtomicReference<>();
    private Optional<Prefilled> prefilled = Optional.empty();
    private long prefillBegunMillis;
    private Optional<Future<?>> deadline = Optional.empty();
    private Revisions awaited = new Revisions(Revisions.NONE, Revisions.NONE);
    private String finishReason = "";
    private volatile long lastPartMillis;
    private boolean answerBegan;
    private boolean settled;

    // ------------------------------------------------------------------ life-cycle

    RequestRunner(
            ClassifiedRequest request,
            RequestSink sink,
            DispatchComponents parts,
            ControlState state,
            Runnable onSettled) {
        this.request = request;
        this.sink = sink;
        this.parts = parts;
        this.state = state;
        this.onSettled = onSettled;
        this.wire = new RequestMessages(request, parts, state);
        this.assembly = new AnswerAssembly(sink, DispatchComponents.MAXIMUM_ANSWER_BYTES);
        this.machine = RequestMachines.create(request, this);
    }

    void start() {
        deadline = Optional.of(parts.control().schedule(Math.max(0, remainingMillis()), this::deadlinePassed));
        carryOut(machine::start);
    }

    // ------------------------------------------------------------------ public API

    void giveUp(Failure failure) {
        carryOut(() -> machine.handle(new RequestEvent.GivenUp(failure)));
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
        return wire.boundInstance().orElseGet(() -> state.choose(request, role, excluded));
    }

    @Override
    public void firstAttempt() {
        state.retryBudget().firstAttempt();
    }

    @Override
    public boolean tryRetry() {
        boolean allowed = remainingMillis() > 0 && state.retryBudget().tryRetry();
        if (allowed) {
            parts.metrics().retry();
        }
        return allowed;
    }

    @Override
    public long retryAfterMillis(long expectedMillis) {
        return state.retryDelay()
                .retryAfterMillis(
                        expectedMillis, request.identified().callerClass().priority());
    }

    // ------------------------------------------------------------------ what attempts tell

    @Override
    public void onEvent(UpstreamAttempt attempt, RequestEvent event) {
        if (!attempt.isOpen()) {
            state.recordEnd(request, attempt.role(), attempt.instance().name());
        }
        carryOut(() -> machine.handle(event));
    }

    @Override
    public void onResponseEnd(UpstreamAttempt attempt, AnswerEnd end) {
        if (end.getCode() != ResultCode.OK.number()) {
            answerFailed(attempt, WireValues.fromWire(end));
        } else if (request instanceof ClassifiedRequest.PlainRequest && !hasPossibleStatus(assembly.head())) {
            answerFailed(attempt, Failure.of(ResultCode.UPSTREAM_MALFORMED, "the answer has no valid status"));
        } else if (assembly.isWhole(attempt.number(), end.getIncarnation(), end.getLength())) {
            finishReason = end.getFinishReason();
            onEvent(attempt, new RequestEvent.ResponseCompleted(attempt.number()));
        } else {
            answerFailed(attempt, Failure.of(ResultCode.UPSTREAM_TRUNCATED, "the answer ended before it was whole"));
        }
    }

    @Override
    public void onPrefillDone(UpstreamAttempt attempt, PrefillDone done) {
        long nowMillis = parts.clock().monotonicMillis();
        prefilled = Optional.of(new Prefilled(done.getCache(), nowMillis));
        state.recordPrefill(
                (ClassifiedRequest.ModelRequest) request,
                attempt.instance().name(),
                done.getComputedTokens(),
                nowMillis - prefillBegunMillis);
        onEvent(attempt, new RequestEvent.PrefillDone(attempt.number(), done.getCache()));
    }

    @Override
    public void onRefused(UpstreamAttempt attempt, Optional<Load> load, Failure failure) {
        state.recordEnd(request, attempt.role(), attempt.instance().name());
        load.ifPresent(present -> onLoad(attempt, present));
        onFailure(attempt, failure);
        carryOut(() -> machine.handle(new RequestEvent.Refused(attempt.number(), failure)));
    }

    @Override
    public void onLoad(UpstreamAttempt attempt, Load load) {
        state.observe(request, attempt.role(), attempt.instance().name(), load);
    }

    @Override
    public void onRevisions(PeerConnection connection, Revisions told) {
        parts.peerRevisions().accept(connection, told);
        awaited =
                new Revisions(Math.max(awaited.inventory(), told.inventory()), Math.max(awaited.rules(), told.rules()));
    }

    @Override
    public void onFailure(UpstreamAttempt attempt, Failure failure) {
        if (failure.code() != ResultCode.PEER_SILENT || isRepeated(attempt)) {
            state.recordFailure(request, attempt.role(), attempt.instance().name(), failure);
        }
    }

    @Override
    public void onHead(UpstreamAttempt attempt, AnswerHead head) {
        if (!isThisRequest(head.getRequest()) || assembly.head(head) == AnswerAssembly.Verdict.FOREIGN) {
            parts.metrics().droppedFrame();
        }
    }

    @Override
    public void onPart(UpstreamAttempt attempt, AnswerPart part) {
        AnswerAssembly.Verdict verdict =
                isThisRequest(part.getRequest()) && part.getRequest().getAttempt() == attempt.number()
                        ? assembly.part(part)
                        : AnswerAssembly.Verdict.FOREIGN;
        switch (verdict) {
            case TAKEN -> timePart(part);
            case FOREIGN -> parts.metrics().droppedFrame();
            case GAP -> failFromEventLoop(attempt, ResultCode.UPSTREAM_TRUNCATED, "a part of the answer is missing");
            case TOO_LARGE -> failFromEventLoop(attempt, ResultCode.UPSTREAM_MALFORMED, "the answer is over the limit");
        }
    }

    // ------------------------------------------------------------------ internals: actions

    /** A fault of this program must not leave a caller without an answer, nor a sidecar with what it holds. */
    private void carryOut(Supplier<List<RequestAction>> step) {
        try {
            step.get().forEach(this::carryOut);
        } catch (RuntimeException exception) {
            logger.atSevere().withCause(exception).log("request %s met an unexpected fault", identifier());
            abandon();
        }
    }

    private void abandon() {
        if (!settled) {
            List.copyOf(attempts.keySet()).forEach(number -> end(number, open -> open.cancel(ResultCode.INTERNAL)));
            settle(Optional.of(INTERNAL_FAULT));
        }
    }

    private void carryOut(RequestAction action) {
        switch (action) {
            case RequestAction.RequestGrant ask -> ask(ask);
            case RequestAction.ExecutePrefill execute -> {
                UpstreamAttempt attempt = attempts.get(execute.attempt());
                prefillBegunMillis = parts.clock().monotonicMillis();
                attempt.execute(wire.prefill(attempt.grantUse()));
            }
            case RequestAction.ExecuteDecode execute -> {
                UpstreamAttempt attempt = begin(execute.attempt());
                answerBegan = true;
                transfer.set(transferOf(execute));
                attempt.execute(wire.decode(attempt.grantUse(), execute.cache(), assembly.tokensSoFar()));
            }
            case RequestAction.ExecutePlain execute -> {
                UpstreamAttempt attempt = begin(execute.attempt());
                attempt.execute(wire.plain(attempt.grantUse(), remainingMillis()));
            }
            case RequestAction.Release release -> end(release.attempt(), UpstreamAttempt::release);
            case RequestAction.Cancel cancel -> end(cancel.attempt(), attempt -> attempt.cancel(cancel.reason()));
            case RequestAction.AwaitRevisions await -> awaitRevisions(ageMillis() + REVISIONS_WAIT_MILLIS);
            case RequestAction.AwaitInstance await -> awaitInstance(await.millis());
            case RequestAction.Settle settle -> settle(settle.failure());
        }
    }

    private void ask(RequestAction.RequestGrant ask) {
        UpstreamAttempt attempt = new UpstreamAttempt(
                ask.attempt(),
                ask.role(),
                ask.instance(),
                WireValues.toWire(identifier(), ask.attempt()),
                parts.endpoint(),
                parts.control(),
                parts.metrics(),
                this);
        attempts.put(ask.attempt(), attempt);
        state.recordStart(request, ask.role(), ask.instance().name());
        long waitMillis = waitMillis(ask.role());
        attempt.start(connection -> wire.grantRequest(ask, connection, waitMillis), waitMillis);
    }

    /**
     * The target for the first token does not bind a begun answer. A prefill grant is worthless once the decode grant
     * has lapsed.
     */
    private long waitMillis(InstanceRole role) {
        long targetMillis = targetMillis(role);
        long waitMillis = Math.min(targetMillis, Math.max(0, remainingMillis()));
        if (role != InstanceRole.PREFILL) {
            return waitMillis;
        }
        return attempts.values().stream()
                .filter(attempt -> attempt.phase() == UpstreamAttempt.Phase.GRANTED)
                .mapToLong(UpstreamAttempt::grantExpiresInMillis)
                .reduce(waitMillis, Math::min);
    }

    private long targetMillis(InstanceRole role) {
        boolean isBound = !answerBegan && request instanceof ClassifiedRequest.ModelRequest;
        return isBound ? state.grantWaitMillis((ClassifiedRequest.ModelRequest) request, role) : Long.MAX_VALUE;
    }

    /** Returns null where the decode engine gets no result of a prefill of which the end is known. */
    private Transfer transferOf(RequestAction.ExecuteDecode execute) {
        return prefilled
                .filter(done -> execute.cache().filter(done.cache()::equals).isPresent())
                .map(done -> new Transfer(execute.attempt(), done.cache().getBytes(), done.doneMillis()))
                .orElse(null);
    }

    private UpstreamAttempt begin(int number) {
        UpstreamAttempt attempt = attempts.get(number);
        assembly.begin(number, attempt.grantUse().getIncarnation());
        return attempt;
    }

    private void end(int number, Consumer<UpstreamAttempt> ending) {
        UpstreamAttempt attempt = attempts.get(number);
        if (attempt.isOpen()) {
            ending.accept(attempt);
            state.recordEnd(request, attempt.role(), attempt.instance().name());
        }
    }

    private void awaitRevisions(long untilAgeMillis) {
        boolean reached = !parts.revisions().get().isBehind(awaited);
        if (reached || ageMillis() >= untilAgeMillis) {
            carryOut(() -> machine.handle(new RequestEvent.RevisionsAwaited(reached)));
            return;
        }
        var unused = parts.control().schedule(REVISIONS_POLL_MILLIS, () -> awaitRevisions(untilAgeMillis));
    }

    private void awaitInstance(long millis) {
        var unused = parts.control()
                .schedule(millis, () -> carryOut(() -> machine.handle(new RequestEvent.InstanceAwaited())));
    }

    private void settle(Optional<Failure> failure) {
        settled = true;
        deadline.ifPresent(timer -> timer.cancel(false));
        ResultCode code = failure.map(Failure::code).orElse(ResultCode.OK);
        assembly.end(() -> failure.ifPresentOrElse(sink::failure, this::deliver));
        parts.metrics().ended(code);
        logger.atInfo().log(
                "request %s of %s to %s: %s after %d ms, %d attempts",
                identifier(),
                request.identified().caller(),
                request.service().name(),
                code,
                ageMillis(),
                attempts.size());
        onSettled.run();
    }

    private void deliver() {
        switch (request) {
            case ClassifiedRequest.ModelRequest call ->
                sink.modelResponse(new ModelResponse(assembly.tokensSoFar(), finishReason));
            case ClassifiedRequest.PlainRequest call -> sink.plainResponse(plainAnswer());
            case ClassifiedRequest.MintRequest call ->
                throw new IllegalStateException("keys are minted without a runner");
        }
    }

    private static boolean hasPossibleStatus(AnswerHead head) {
        return head.getStatus() >= LOWEST_STATUS && head.getStatus() <= HIGHEST_STATUS;
    }

    private PlainResponse plainAnswer() {
        AnswerHead head = assembly.head();
        List<HttpHeader> headers = head.getHeadersList().stream()
                .map(header -> new HttpHeader(header.getName(), header.getValue()))
                .toList();
        return new PlainResponse(head.getStatus(), headers, assembly.body(), head.getReplayed());
    }

    // ------------------------------------------------------------------ internals: events

    private void answerFailed(UpstreamAttempt attempt, Failure failure) {
        onFailure(attempt, failure);
        onEvent(attempt, new RequestEvent.ResponseFailed(attempt.number(), failure));
    }

    /** A first connection that is silent says little of the process behind it, a second one much. */
    private boolean isRepeated(UpstreamAttempt attempt) {
        return attempts.values().stream()
                .anyMatch(earlier -> earlier.number() < attempt.number()
                        && earlier.instance().name().equals(attempt.instance().name()));
    }

    private void failFromEventLoop(UpstreamAttempt attempt, ResultCode code, String detail) {
        parts.control().execute(() -> {
            if (attempt.isOpen()) {
                end(attempt.number(), open -> open.cancel(code));
                carryOut(() ->
                        machine.handle(new RequestEvent.ResponseFailed(attempt.number(), Failure.of(code, detail))));
            }
        });
    }

    private void deadlinePassed() {
        if (!settled) {
            giveUp(new Failure(
                    ResultCode.DEADLINE_PASSED,
                    "the deadline of the caller passed",
                    ExecutionState.UNKNOWN,
                    retryAfterMillis(0)));
        }
    }

    private void timePart(AnswerPart part) {
        if (part.getTokensCount() == 0) {
            return;
        }
        long nowMillis = parts.clock().monotonicMillis();
        noteTransfer(part.getRequest().getAttempt(), nowMillis);
        if (lastPartMillis == 0) {
            parts.metrics().firstToken(ageMillis());
        } else {
            parts.metrics().betweenTokens(nowMillis - lastPartMillis);
        }
        lastPartMillis = nowMillis;
    }

    private void noteTransfer(int attempt, long nowMillis) {
        Transfer pending = transfer.get();
        if (pending != null && pending.attempt() == attempt && transfer.compareAndSet(pending, null)) {
            parts.control().execute(() -> state.recordTransfer(pending.bytes(), nowMillis - pending.doneMillis()));
        }
    }

    private boolean isThisRequest(RequestIdentity received) {
        return WireValues.fromWire(received).equals(identifier());
    }

    private RequestIdentifier identifier() {
        return request.identified().accepted().identifier();
    }

    private long ageMillis() {
        return parts.clock().monotonicMillis() - request.identified().accepted().arrivedMillis();
    }

    private long remainingMillis() {
        return request.identified().deadlineMillis() - parts.clock().monotonicMillis();
    }

    /** The result of a prefill, and when it was done. */
    private record Prefilled(CacheHandle cache, long doneMillis) {}

    /** A KV cache on its way to the decode engine of an attempt that has given no token yet. */
    private record Transfer(int attempt, long bytes, long doneMillis) {}
}
