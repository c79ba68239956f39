package org.merlinwood.gateway.front;

import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.decision.AttemptOutcome;
import org.merlinwood.gateway.decision.CrashHistory;
import org.merlinwood.gateway.decision.NextStep;
import org.merlinwood.gateway.decision.RetryPolicy;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.request.CallerRequest;
import org.merlinwood.gateway.route.Route;
import org.merlinwood.gateway.upstream.AttemptTerms;
import org.merlinwood.gateway.upstream.ResponseHead;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpListener;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpStream;

/** The course of a plain request: one call at a time, its answer read whole before the caller sees any of it. */
final class PlainRequestProcessor extends RequestProcessor {

    /** Least silence before an idempotent call is tried elsewhere, in milliseconds. */
    private static final long LEAST_SILENCE_MILLIS = 300;

    /** When to come back after a refusal, in milliseconds: a pause of an instance ends meanwhile. */
    private static final long RETRY_AFTER_MILLIS = 150;

    private final Set<String> tried = new HashSet<>();
    private int sent;
    private int unreached;
    private Optional<Attempt> current = Optional.empty();

    /** An error that an instance answered, for the case that no other can be tried. */
    private Optional<Attempt> lastAnswer = Optional.empty();

    PlainRequestProcessor(RequestProcessorContext context, CallerRequest request, Route route, CallerChannel channel) {
        super(context, request, route, channel);
    }

    @Override
    void proceed() {
        Optional<UpstreamInstance> choice = context.pool().choosePlain(service, tried);
        if (choice.isEmpty() && lastAnswer.isPresent()) {
            deliver(lastAnswer.get());
            return;
        }
        if (choice.isEmpty()) {
            fail(ResultCode.NO_INSTANCE, RETRY_AFTER_MILLIS, "no instance is left to try");
            return;
        }
        send(choice.get());
    }

    @Override
    void cancelUpstream() {
        current.ifPresent(Attempt::cancel);
    }

    @Override
    ResultCode timeoutCode() {
        return sent == 0 && current.isEmpty() ? ResultCode.NO_CAPACITY : ResultCode.DEADLINE_PASSED;
    }

    private void send(UpstreamInstance instance) {
        tried.add(instance.identifier());
        decisionLine("send")
                .with("instance", instance.identifier())
                .with("attemptsBefore", sent)
                .write();
        AttemptTerms terms =
                new AttemptTerms(timeForUpstream(), Optional.empty(), Optional.empty(), OptionalLong.empty());
        HttpRequest call =
                context.protocol().run(instance, request, terms).withTimeouts(CONNECT_LIMIT_MILLIS, silenceLimit());
        Attempt next = new Attempt(instance);
        current = Optional.of(next);
        context.pool().beginPlainAttempt(instance.identifier());
        next.stream = Optional.of(context.client().send(call, next));
    }

    /** A call that can be tried elsewhere isn't waited for to the end. */
    private long silenceLimit() {
        boolean canRepeat = route.repeatable() && sent + 1 < route.maximumAttempts();
        return canRepeat ? Math.max(LEAST_SILENCE_MILLIS, timeLeft() / 2) : Math.max(1, timeLeft());
    }

    private void settle(Attempt call, AttemptOutcome outcome) {
        current = Optional.empty();
        if (isOver()) {
            return;
        }
        switch (outcome) {
            case AttemptOutcome.Unreached none -> unreached++;
            case AttemptOutcome.Declined declined -> sent++;
            case AttemptOutcome.Broken broken -> {
                sent++;
                recordUnknownOutcome(broken.failure().code());
            }
            case AttemptOutcome.Answered answered -> {
                sent++;
                lastAnswer = Optional.of(call);
            }
        }
        NextStep step = RetryPolicy.decide(
                outcome, route, sent, unreached, () -> context.allowance().tryAcquire(service));
        decisionLine("attempt ended")
                .with("instance", call.instance.identifier())
                .with("outcome", outcome.toString())
                .with("next", step.toString())
                .write();
        switch (step) {
            case NextStep.Deliver deliver -> deliver(call);
            case NextStep.Repeat repeat -> proceed();
            case NextStep.Fail failure -> fail(failure.code(), RETRY_AFTER_MILLIS, outcome.toString());
        }
    }

    private void deliver(Attempt call) {
        deliver(call.head.status(), call.head.forwardedHeaders(), call.body.toByteArray(), call.instance);
    }

    /** One call to one instance. */
    private final class Attempt implements HttpListener {

        private final UpstreamInstance instance;
        private final long startedMillis = context.clock().monotonicMillis();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private Optional<HttpStream> stream = Optional.empty();
        private ResponseHead head;
        private boolean ended;

        private Attempt(UpstreamInstance instance) {
            this.instance = instance;
        }

        private void cancel() {
            stream.ifPresent(HttpStream::cancel);
        }

        @Override
        public void onHead(int status, List<HttpHeader> headers) {
            head = context.protocol().readHead(status, headers);
            head.load().ifPresent(load -> context.pool().recordLoad(instance.identifier(), load));
        }

        @Override
        public void onBytes(byte[] bytes) {
            body.writeBytes(bytes);
        }

        @Override
        public void onEnd() {
            if (!release()) {
                return;
            }
            settle(this, judge());
        }

        private AttemptOutcome judge() {
            if (head.notRun()) {
                return new AttemptOutcome.Declined(head.status());
            }
            boolean ours = head.attempt().equals(request.attempt()) && head.signed() && !head.encoded();
            if (!ours) {
                context.pool().recordErrorResponse(instance.identifier());
                return new AttemptOutcome.Broken(
                        Failure.of(ResultCode.UPSTREAM_MALFORMED, "the answer is not one to this request"));
            }
            if (head.status() >= 500) {
                context.pool().recordErrorResponse(instance.identifier());
            } else {
                context.pool()
                        .recordSuccess(instance.identifier(), context.clock().monotonicMillis() - startedMillis);
                context.crashes().remove(CrashHistory.fingerprint(request));
            }
            return new AttemptOutcome.Answered(head.status());
        }

        @Override
        public void onFailure(Failure failure) {
            if (!release() || isOver()) {
                return;
            }
            long pause = context.pool().recordFailure(instance.identifier());
            decisionLine("instance paused")
                    .with("instance", instance.identifier())
                    .with("pauseMillis", pause)
                    .with("reason", failure.detail())
                    .write();
            boolean notRun = failure.executionState() == ExecutionState.NOT_RUN;
            if (!notRun && failure.code() != ResultCode.UPSTREAM_TIMEOUT) {
                context.crashes().recordLoss(CrashHistory.fingerprint(request), instance.identifier());
            }
            settle(this, notRun ? new AttemptOutcome.Unreached(failure) : new AttemptOutcome.Broken(failure));
        }

        private boolean release() {
            if (ended) {
                return false;
            }
            ended = true;
            context.pool().endPlainAttempt(instance.identifier());
            return true;
        }
    }
}
