package org.merlinwood.gateway.front;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.loop.EventLoop;
import org.merlinwood.gateway.request.CallerRequest;
import org.merlinwood.gateway.route.Route;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.operation.log.DecisionLog;

/**
 * What the courses of all requests share: time that is left, final answers, log lines. Used by the event loop alone.
 */
abstract class RequestProcessor {

    /** Longest time for a connection, in milliseconds: many round trips within a region, and lost packets aside. */
    static final long CONNECT_LIMIT_MILLIS = 120;

    private static final double MILLIS_PER_SECOND = 1_000;

    final RequestProcessorContext context;
    final CallerRequest request;
    final Route route;
    final String service;
    final CallerChannel channel;
    private Optional<ResultCode> unknownOutcome = Optional.empty();
    private boolean over;
    private Optional<EventLoop.Timer> timeout = Optional.empty();

    RequestProcessor(RequestProcessorContext context, CallerRequest request, Route route, CallerChannel channel) {
        this.context = context;
        this.request = request;
        this.route = route;
        this.service = route.serviceFor(request.attempt());
        this.channel = channel;
    }

    /** Begins; called once. */
    final void start() {
        context.allowance().recordRequest(service);
        channel.onDisconnect(this::callerLeft);
        timeout = Optional.of(context.loop().schedule(Math.max(1, routeTimeLeft()), this::timeOut));
        proceed();
    }

    /** Takes the first step towards an answer. */
    abstract void proceed();

    /** Ends whatever is under way at upstreams. */
    abstract void cancelUpstream();

    /** The code that says what is known if the time is over now. */
    abstract ResultCode timeoutCode();

    // ------------------------------------------------------------------ time

    final long elapsed() {
        return context.clock().monotonicMillis() - request.arrivedMillis();
    }

    /** Milliseconds until the route's final answer is due. */
    final long routeTimeLeft() {
        return route.timeoutMillis() - elapsed();
    }

    /** Milliseconds until the caller or the route gives up, whichever comes first. */
    final long timeLeft() {
        long caller = request.timeLeftMillis().orElse(Long.MAX_VALUE / 2) - elapsed();
        return Math.min(caller, routeTimeLeft());
    }

    /** The time that an upstream is given: what the caller has left. */
    final OptionalLong timeForUpstream() {
        return OptionalLong.of(Math.max(1, timeLeft()));
    }

    // ------------------------------------------------------------------ ends

    final boolean isOver() {
        return over;
    }

    /** Marks the end; false if the course was over already. */
    final boolean finish() {
        if (over) {
            return false;
        }
        over = true;
        timeout.ifPresent(EventLoop.Timer::cancel);
        return true;
    }

    final void deliver(int status, List<HttpHeader> headers, byte[] body, UpstreamInstance from) {
        if (finish()) {
            decisionLine("answered")
                    .with("status", status)
                    .with("instance", from.identifier())
                    .write();
            context.metrics().ended(route.kind(), status, elapsed());
            channel.respond(status, headers, body);
        }
    }

    /** Notes that a run of the request has an unknown outcome, so that no later refusal can say that it was not run. */
    final void recordUnknownOutcome(ResultCode code) {
        unknownOutcome = Optional.of(code);
    }

    /** Ends the request with a failure of this entry. */
    final void fail(ResultCode wanted, long retryAfterMillis, String reason) {
        if (!finish()) {
            return;
        }
        cancelUpstream();
        ResultCode code = wanted.executionState() == ExecutionState.NOT_RUN ? unknownOutcome.orElse(wanted) : wanted;
        decisionLine("failed")
                .with("code", code.number())
                .with("reason", reason)
                .with("execution", code.executionState().name())
                .with("retryAfterMillis", retryAfterMillis)
                .write();
        context.metrics().ended(route.kind(), code.httpStatus(), elapsed());
        ErrorResponses.send(channel, code, retryAfterMillis);
    }

    private void timeOut() {
        fail(timeoutCode(), 0, "the time of the route is over");
    }

    private void callerLeft() {
        if (finish()) {
            cancelUpstream();
            decisionLine("caller left").write();
            context.metrics().count("callers_left");
        }
    }

    // ------------------------------------------------------------------ logs

    final DecisionLog.Line decisionLine(String decision) {
        return context.log()
                .line(decision)
                .with("request", request.attempt())
                .with("route", route.name())
                .with("elapsedMillis", elapsed());
    }

    /** Answers that the entry gives by itself. */
    static final class ErrorResponses {

        private ErrorResponses() {}

        /**
         * Sends a failure.
         *
         * @param channel the way back
         * @param code the result code
         * @param retryAfterMillis when to come back, in milliseconds; 0 for no word on it
         */
        static void send(CallerChannel channel, ResultCode code, long retryAfterMillis) {
            HttpHeader type = new HttpHeader("Content-Type", "application/json");
            HttpHeader back = new HttpHeader(
                    "Retry-After", String.format(Locale.ROOT, "%.2f", retryAfterMillis / MILLIS_PER_SECOND));
            boolean comeBack = retryAfterMillis > 0 && code.executionState() == ExecutionState.NOT_RUN;
            String body = "{\"code\":" + code.number() + ",\"message\":\"" + code.description() + "\"}";
            channel.respond(
                    code.httpStatus(),
                    comeBack ? List.of(type, back) : List.of(type),
                    body.getBytes(StandardCharsets.UTF_8));
        }
    }
}
