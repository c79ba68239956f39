package org.merlinwood.gateway.front;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.crash.CrashHistory;
import org.merlinwood.gateway.crash.PartFingerprints;
import org.merlinwood.gateway.decision.AttemptOutcome;
import org.merlinwood.gateway.decision.MemoryWaitPolicy;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.loop.EventLoop;
import org.merlinwood.gateway.request.CallerRequest;
import org.merlinwood.gateway.route.Route;
import org.merlinwood.gateway.route.RouteTable;
import org.merlinwood.gateway.upstream.CollectedBody;
import org.merlinwood.gateway.upstream.ResponseHead;
import org.merlinwood.gateway.workspace.CallerIdentity;
import org.merlinwood.gateway.workspace.Workspace;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.operation.log.DecisionLog;

/**
 * Processes one request from its dispatch until its response is complete or its caller disconnects.
 *
 * <p>This class handles what all kinds of requests have in common: timeouts, final responses and log lines. A subclass
 * chooses the instances and sends the attempts. Used by the event loop alone.
 */
abstract class RequestProcessor {

    /** Connect timeout, in milliseconds: many round trips within a region, but no retransmission of a lost packet. */
    static final long CONNECT_TIMEOUT_MILLIS = 120;

    /** Counts how often a request was not sent because of its parts. */
    static final String BLOCKED_PARTS_COUNTER = "requests_with_blocked_parts";

    /**
     * Retry delay sent to a refused caller of a plain service, in milliseconds. The pause of an instance ends within
     * it.
     */
    private static final long PLAIN_RETRY_AFTER_MILLIS = 150;

    final RequestProcessorContext context;
    final CallerRequest request;
    final Route route;
    final String service;
    final CallerChannel channel;

    /** Fingerprints of the parts of the prompt that other requests can share; empty without a prompt. */
    final List<Long> sharedParts;

    /** Records which instances the request may have crashed. */
    final RunLosses losses;

    /** When the request had been read completely, by the monotonic clock, in milliseconds. */
    private final long readAtMillis;

    /** The bodies of responses that are being collected or may yet be delivered. */
    private final List<CollectedBody> collectedBodies = new ArrayList<>();

    private Optional<ResultCode> unknownOutcome = Optional.empty();
    private Optional<RunCharges> runCharges = Optional.empty();
    private boolean finished;
    private Optional<EventLoop.Timer> timeoutTimer = Optional.empty();

    RequestProcessor(RequestProcessorContext context, CallerRequest request, Route route, CallerChannel channel) {
        this.context = context;
        this.request = request;
        this.route = route;
        this.service = route.serviceFor(request.streamAttempt());
        this.channel = channel;
        this.losses = new RunLosses(this);
        this.readAtMillis = context.clock().monotonicMillis();
        this.sharedParts = request.prompt().map(PartFingerprints::of).orElse(List.of());
    }

    /** Sets what counts the runs in the allotment of the workspace. Called before the start, if there is a limit. */
    final void chargeRuns(RunCharges charges) {
        runCharges = Optional.of(charges);
    }

    /** Records that the request is being sent to an instance that runs it. */
    final void recordRun() {
        runCharges.ifPresent(RunCharges::recordSend);
    }

    /** Records the outcome of an attempt that was sent. */
    final void recordRunOutcome(AttemptOutcome outcome) {
        if (outcome instanceof AttemptOutcome.Unreached || outcome instanceof AttemptOutcome.Declined) {
            runCharges.ifPresent(RunCharges::recordNotRun);
        }
    }

    /** Starts processing. Called once. If the first step throws, the request is answered with an error at once. */
    final void start() {
        context.retryAllowance().recordRequest(service);
        channel.onDisconnect(this::onCallerDisconnected);
        timeoutTimer = Optional.of(context.loop().schedule(Math.max(1, routeTimeLeftMillis()), this::onTimeout));
        runStep(this::proceed);
    }

    /** Runs a step of the request. If it throws, the request is answered with an error at once. */
    final void runStep(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException exception) {
            fail(ResultCode.INTERNAL, 0, "a step threw " + exception);
        }
    }

    /** Chooses an instance and starts the next attempt; waits or fails the request if there is no instance. */
    abstract void proceed();

    /** Cancels the active upstream request and releases what is reserved at upstreams. */
    abstract void cancelUpstream();

    /** Describes what is in progress at an upstream for this request, for log lines; "none" if nothing is. */
    abstract String describeUpstreamWork();

    /** Returns the result code for a timeout now, which depends on whether an upstream may have run the request. */
    abstract ResultCode timeoutCode();

    /** Returns whether the caller has received the head of a response, so that no other response can be sent. */
    abstract boolean responseStarted();

    /** Adds how far a response that has begun got to a log line, and returns the line. */
    abstract DecisionLog.Line addProgress(DecisionLog.Line line);

    /** Returns the priority of the request, 0 is the highest: that of its workspace, otherwise that of its route. */
    final int priority() {
        return priority(request, route);
    }

    /** Returns the priority of a request of a route, 0 is the highest. */
    static int priority(CallerRequest request, Route route) {
        return request.workspace()
                .map(Workspace::priority)
                .orElse(OptionalInt.empty())
                .orElse(route.priority());
    }

    final long elapsedMillis() {
        return context.clock().monotonicMillis() - request.arrivedMillis();
    }

    /** Returns the time until the timeout of the route, in milliseconds; negative after it. */
    final long routeTimeLeftMillis() {
        return route.timeoutMillis() - elapsedMillis();
    }

    /** Returns the time until the timeout of the caller or of the route, whichever is earlier, in milliseconds. */
    final long timeLeftMillis() {
        long callerTimeLeftMillis = request.timeLeftMillis().orElse(Long.MAX_VALUE / 2) - elapsedMillis();
        return Math.min(callerTimeLeftMillis, routeTimeLeftMillis());
    }

    /** Returns the time limit that is sent to an upstream: the time left, at least 1 millisecond. */
    final OptionalLong upstreamTimeLeftMillis() {
        return OptionalLong.of(Math.max(1, timeLeftMillis()));
    }

    /**
     * Returns the retry delay for a caller of a plain service, in milliseconds: until an instance accepts requests
     * again, if all have named a time.
     */
    final long plainRetryAfterMillis() {
        OptionalLong untilAccepted = context.pool().millisUntilAccepted(service, Stage.PLAIN);
        return untilAccepted.isEmpty()
                ? PLAIN_RETRY_AFTER_MILLIS
                : MemoryWaitPolicy.retryAfterMillis(
                        untilAccepted.getAsLong(),
                        timeLeftMillis(),
                        context.clock().monotonicMillis());
    }

    final boolean isFinished() {
        return finished;
    }

    /** Marks the request as finished and stops its timer; returns false if it was finished before. */
    final boolean finish() {
        if (finished) {
            return false;
        }
        finished = true;
        runCharges.ifPresent(RunCharges::settle);
        collectedBodies.forEach(CollectedBody::release);
        timeoutTimer.ifPresent(EventLoop.Timer::cancel);
        return true;
    }

    final void deliver(int status, List<HttpHeader> headers, byte[] body, UpstreamInstance instance) {
        if (finish()) {
            decisionLine("answered")
                    .with("status", status)
                    .with("instance", instance.identifier())
                    .write();
            context.metrics().recordCompletion(route.kind(), status, elapsedMillis());
            channel.respond(status, headers, body);
        }
    }

    /** Creates the body of a response, which is released when the request has finished, if not before. */
    final CollectedBody collectBody() {
        CollectedBody body = context.client().collectedBytes().open();
        collectedBodies.add(body);
        return body;
    }

    /** Returns the failure of a response whose body is too large, by itself or with all others. */
    static Failure tooLarge() {
        return Failure.of(
                ResultCode.UPSTREAM_MALFORMED, "the response bodies of this entry exceed its memory for them");
    }

    /** Returns whether a response can be passed on to the caller: it is one to this request, and the request ran. */
    final boolean mayBeDelivered(ResponseHead head) {
        return !head.notRun() && belongsToRequest(head);
    }

    /** Returns whether a response is one to this request, as the instance made it. */
    final boolean belongsToRequest(ResponseHead head) {
        return head.attempt().equals(request.attempt()) && head.signed() && !head.encoded();
    }

    /** Records that the outcome of an attempt is unknown, so that no later failure reports the request as not run. */
    final void recordUnknownOutcome(ResultCode code) {
        unknownOutcome = Optional.of(code);
    }

    /**
     * Finishes the request with an error response of this entry, or with the end of its connection if the caller has
     * already received the head of a response. If the outcome of an earlier attempt is unknown, its code replaces one
     * that reports the request as not run.
     */
    final void fail(ResultCode requestedCode, long retryAfterMillis, String reason) {
        if (!finish()) {
            return;
        }
        cancelUpstream();
        if (responseStarted()) {
            breakOff(requestedCode, reason);
        } else {
            sendError(requestedCode, retryAfterMillis, reason);
        }
    }

    private void breakOff(ResultCode code, String reason) {
        addProgress(decisionLine("broken off"))
                .with("code", code.number())
                .with("reason", reason)
                .with("routesVersion", routesVersion())
                .write();
        context.metrics().count("streams_broken_off");
        channel.abort();
    }

    private void sendError(ResultCode requestedCode, long retryAfterMillis, String reason) {
        ResultCode code = requestedCode.executionState() == ExecutionState.NOT_RUN
                ? unknownOutcome.orElse(requestedCode)
                : requestedCode;
        decisionLine("failed")
                .with("code", code.number())
                .with("reason", reason)
                .with("execution", code.executionState().name())
                .with("routesVersion", routesVersion())
                .with("retryAfterMillis", retryAfterMillis)
                .write();
        context.metrics().recordCompletion(route.kind(), code.httpStatus(), elapsedMillis());
        ErrorResponses.send(channel, code, retryAfterMillis);
    }

    /** Pauses an instance that failed. That a request was cancelled says nothing about its instance. */
    final void pauseInstance(UpstreamInstance instance, Failure failure) {
        if (failure.code() == ResultCode.CANCELLED) {
            return;
        }
        if (failure.code() == ResultCode.UPSTREAM_MALFORMED) {
            context.metrics().count("upstream_responses_malformed");
        }
        long pauseMillis = context.pool().recordFailure(instance.identifier());
        decisionLine("instance paused")
                .with("instance", instance.identifier())
                .with("pauseMillis", pauseMillis)
                .with("reason", failure.detail())
                .write();
    }

    /**
     * Returns why the request must not be sent to an instance now: its caller's key was revoked while it waited, or may
     * have been; empty if it may be sent.
     */
    final Optional<ResultCode> callerRefusal() {
        return switch (context.callerCheck().identifyAgain(request, route, readAtMillis)) {
            case CallerIdentity.Unrestricted none -> Optional.empty();
            case CallerIdentity.Accepted accepted -> Optional.empty();
            case CallerIdentity.Unknown unknown -> Optional.of(ResultCode.UNKNOWN_CALLER);
            case CallerIdentity.Unconfirmed unconfirmed -> Optional.of(ResultCode.KEY_UNCONFIRMED);
        };
    }

    /**
     * Returns the retry delay for a caller whose request is refused with a code because of its key, in milliseconds.
     */
    final long callerRetryAfterMillis(ResultCode refusal) {
        return refusal == ResultCode.KEY_UNCONFIRMED ? context.callerCheck().retryAfterMillis(request) : 0;
    }

    /** Returns whether the request must not be sent to an instance, since it would probably crash it. */
    final boolean isBlocked() {
        return context.crashHistory().isBlocked(CrashHistory.fingerprint(request)) || hasBlockedParts();
    }

    private boolean hasBlockedParts() {
        boolean blocked = context.crashCausingParts().isBlocked(sharedParts);
        if (blocked) {
            context.metrics().count(BLOCKED_PARTS_COUNTER);
        }
        return blocked;
    }

    /** Returns whether the HTTP client reports that the connection of an attempt was lost. */
    static boolean isConnectionLost(Failure failure) {
        return failure.code() == ResultCode.CONNECTION_LOST || failure.code() == ResultCode.UPSTREAM_TRUNCATED;
    }

    /** Records what a failed attempt tells about its instance; returns its outcome. */
    final AttemptOutcome recordFailedAttempt(UpstreamInstance instance, Failure failure) {
        pauseInstance(instance, failure);
        if (failure.executionState() == ExecutionState.NOT_RUN) {
            return new AttemptOutcome.Unreached(failure);
        }
        return new AttemptOutcome.Broken(failure);
    }

    /** Answers the request, unless its response has begun, because the entry is about to exit. */
    final void onForcedExit() {
        if (!isFinished() && !responseStarted()) {
            boolean sent = timeoutCode().executionState() != ExecutionState.NOT_RUN;
            fail(sent ? timeoutCode() : ResultCode.DRAINING, 0, "the entry exits");
        }
    }

    private void onTimeout() {
        fail(timeoutCode(), 0, "route timeout exceeded");
    }

    private void onCallerDisconnected() {
        if (finish()) {
            String cancelledWork = describeUpstreamWork();
            cancelUpstream();
            decisionLine("caller left")
                    .with("cancelled", cancelledWork)
                    .with(
                            "abandonedConnections",
                            context.client().connectionCounts().abandoned())
                    .write();
            context.metrics().count("callers_left");
        }
    }

    /** Returns the version of the routes in force now, which may be later than that of this request. */
    final long routesVersion() {
        return context.fleet().routes().map(RouteTable::version).orElse(-1L);
    }

    final DecisionLog.Line decisionLine(String decision) {
        return context.log()
                .line(decision)
                .with("request", request.attempt())
                .with("route", route.name())
                .with("elapsedMillis", elapsedMillis());
    }
}
