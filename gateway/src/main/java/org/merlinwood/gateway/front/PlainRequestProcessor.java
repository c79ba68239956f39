package org.merlinwood.gateway.front;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.crash.CrashHistory;
import org.merlinwood.gateway.crash.Suspicion;
import org.merlinwood.gateway.decision.ActivePlainAttempt;
import org.merlinwood.gateway.decision.AttemptOutcome;
import org.merlinwood.gateway.decision.NextStep;
import org.merlinwood.gateway.decision.RetryClaim;
import org.merlinwood.gateway.decision.RetryPolicy;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.request.CallerRequest;
import org.merlinwood.gateway.route.Route;
import org.merlinwood.gateway.upstream.AttemptTerms;
import org.merlinwood.gateway.upstream.CollectedBody;
import org.merlinwood.gateway.upstream.ResponseHead;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpListener;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpStream;
import org.merlinwood.operation.log.DecisionLog;

/**
 * Processes a plain request: reads a response completely before forwarding any of it to the caller, so that a broken
 * response can still be retried. Used by the event loop alone.
 *
 * <p>An attempt whose instance is silent stays open beside its replacement: the first response that can be delivered
 * ends the others, and an attempt that ends without one leaves them.
 */
final class PlainRequestProcessor extends RequestProcessor {

    /** Minimum time without a complete response after which a request may be retried elsewhere, in milliseconds. */
    private static final long MINIMUM_SILENCE_MILLIS = 300;

    private final Set<String> triedInstances = new HashSet<>();
    private final SilenceTimer silenceTimer;

    /** Holds the retry of the next attempt, until that has or may have reached an instance. */
    private final RetryClaim retry;

    private int attemptsSent;
    private int unreachedAttempts;

    /** The attempts that have not ended, in the order of their sending. All but the last one are silent. */
    private final List<Attempt> openAttempts = new ArrayList<>();

    /** The attempt with the last error response, which is forwarded if no other instance is left to try. */
    private Optional<Attempt> lastAnsweredAttempt = Optional.empty();

    /** The replacement whose silent attempt ended before it did, the last one. */
    private Optional<Attempt> survivingReplacement = Optional.empty();

    PlainRequestProcessor(RequestProcessorContext context, CallerRequest request, Route route, CallerChannel channel) {
        super(context, request, route, channel);
        this.retry = new RetryClaim(context.retryAllowance(), service);
        this.silenceTimer = new SilenceTimer(context.loop(), this::onSilence);
    }

    @Override
    void proceed() {
        Optional<ResultCode> refusal = callerRefusal();
        if (refusal.isPresent()) {
            giveUpForCaller(refusal.get());
            return;
        }
        if (triedInstances.isEmpty() && LateRefusal.refuseIfLate(this)) {
            return;
        }
        Optional<UpstreamInstance> choice = context.pool().choosePlain(service, Optional.empty(), triedInstances);
        if (choice.isEmpty()) {
            retry.giveBack();
        }
        if (choice.isEmpty() && lastAnsweredAttempt.isPresent()) {
            deliver(lastAnsweredAttempt.get());
            return;
        }
        if (choice.isEmpty()) {
            fail(ResultCode.NO_INSTANCE, plainRetryAfterMillis(), "no instance left to try");
            return;
        }
        send(choice.get());
    }

    /** Sends no further attempt, since the caller may not be served; those that are open go on. */
    private void giveUpForCaller(ResultCode refusal) {
        retry.giveBack();
        if (!openAttempts.isEmpty()) {
            return;
        }
        if (lastAnsweredAttempt.isPresent()) {
            deliver(lastAnsweredAttempt.get());
        } else {
            fail(refusal, callerRetryAfterMillis(refusal), "the key of the caller is not valid for certain any more");
        }
    }

    @Override
    void cancelUpstream() {
        silenceTimer.stop();
        List.copyOf(openAttempts).forEach(Attempt::abandon);
        openAttempts.clear();
    }

    @Override
    String describeUpstreamWork() {
        return openAttempts.isEmpty()
                ? "none"
                : openAttempts.stream()
                        .map(attempt -> "attempt at " + attempt.instance.identifier())
                        .collect(Collectors.joining(", "));
    }

    @Override
    ResultCode timeoutCode() {
        return attemptsSent == 0 && openAttempts.isEmpty() ? ResultCode.NO_CAPACITY : ResultCode.DEADLINE_PASSED;
    }

    /** Returns false: a response is forwarded only once it is complete. */
    @Override
    boolean responseStarted() {
        return false;
    }

    @Override
    DecisionLog.Line addProgress(DecisionLog.Line line) {
        return line;
    }

    private void send(UpstreamInstance instance) {
        triedInstances.add(instance.identifier());
        AttemptTerms terms =
                new AttemptTerms(upstreamTimeLeftMillis(), Optional.empty(), Optional.empty(), OptionalLong.empty());
        long attemptTimeoutMillis = Math.max(1, timeLeftMillis());
        HttpRequest upstreamRequest = context.protocol()
                .run(instance, request, terms)
                .withTimeouts(CONNECT_TIMEOUT_MILLIS, attemptTimeoutMillis)
                .withResponseTimeout(attemptTimeoutMillis);
        Attempt attempt = new Attempt(instance);
        openAttempts.add(attempt);
        logSend(attempt);
        recordRun();
        restartSilenceTimer();
        attempt.stream = Optional.of(context.client().send(instance, upstreamRequest, attempt));
    }

    private void logSend(Attempt attempt) {
        DecisionLog.Line line = decisionLine("send")
                .with("instance", attempt.instance.identifier())
                .with("attemptsBefore", attemptsSent);
        attempt.work.forecast().ifPresent(forecast -> {
            line.with("expectedMillis", forecast.expectedMillis()).with("reportAgeMillis", forecast.reportAgeMillis());
            context.metrics().recordDuration("plain_expected_milliseconds", forecast.expectedMillis());
            context.metrics().recordDuration("plain_report_age_milliseconds", forecast.reportAgeMillis());
        });
        line.write();
    }

    /** Leaves as much time for another attempt as the instance has for its response, if another one is allowed. */
    private void restartSilenceTimer() {
        silenceTimer.stop();
        long uncounted =
                openAttempts.stream().filter(attempt -> !attempt.counted).count();
        if (route.repeatable() && attemptsSent + uncounted < route.maximumAttempts()) {
            silenceTimer.restart(Math.max(MINIMUM_SILENCE_MILLIS, timeLeftMillis() / 2));
        }
    }

    /** Sends another attempt beside one without a complete response if an instance is left and a retry is allowed. */
    private void onSilence() {
        Attempt silent = openAttempts.getLast();
        retry.markUsed();
        Failure silence = Failure.of(ResultCode.UPSTREAM_TIMEOUT, "the instance is silent");
        pauseInstance(silent.instance, silence);
        boolean replaced = timeLeftMillis() > 0
                && context.pool()
                        .choosePlain(service, Optional.empty(), triedInstances)
                        .isPresent()
                && retry.tryAcquire();
        decisionLine("instance silent")
                .with("instance", silent.instance.identifier())
                .with("next", replaced ? "replace" : "wait")
                .write();
        if (!replaced) {
            restartSilenceTimer();
            return;
        }
        silent.count();
        recordUnknownOutcome(silence.code());
        proceed();
    }

    private void onAttemptEnded(Attempt attempt, AttemptOutcome outcome) {
        boolean sentLast = attempt.equals(openAttempts.getLast());
        openAttempts.remove(attempt);
        if (sentLast) {
            silenceTimer.stop();
        }
        if (isFinished()) {
            return;
        }
        if (sentLast && !(outcome instanceof AttemptOutcome.Unreached)) {
            retry.markUsed();
        }
        recordRunOutcome(outcome);
        record(attempt, outcome);
        if (openAttempts.isEmpty()) {
            takeNextStep(attempt, outcome, decide(outcome, () -> timeLeftMillis() > 0 && retry.tryAcquire()));
        } else if (decide(outcome, () -> true) instanceof NextStep.Deliver deliver) {
            takeNextStep(attempt, outcome, deliver);
        } else {
            leaveOthers(attempt, outcome, sentLast);
        }
    }

    private void record(Attempt attempt, AttemptOutcome outcome) {
        switch (outcome) {
            case AttemptOutcome.Unreached none -> {
                unreachedAttempts++;
                attempt.discount();
            }
            case AttemptOutcome.Declined declined -> {
                if (!isSurvivingReplacement(attempt)) {
                    attempt.count();
                }
            }
            case AttemptOutcome.Broken broken -> {
                attempt.count();
                recordUnknownOutcome(broken.failure().code());
            }
            case AttemptOutcome.Answered answered -> {
                attempt.count();
                lastAnsweredAttempt = Optional.of(attempt);
            }
        }
    }

    /**
     * Returns whether an attempt replaced a silent one that ended before it. The silent attempt was given up for it, so
     * it doesn't use up an attempt if it was not run.
     */
    private boolean isSurvivingReplacement(Attempt attempt) {
        return survivingReplacement.equals(Optional.of(attempt));
    }

    private NextStep decide(AttemptOutcome outcome, BooleanSupplier mayRetry) {
        return RetryPolicy.decide(outcome, route, attemptsSent, unreachedAttempts, mayRetry);
    }

    private void takeNextStep(Attempt attempt, AttemptOutcome outcome, NextStep step) {
        logEnd(attempt, outcome, step.toString());
        switch (step) {
            case NextStep.Deliver deliver -> deliver(attempt);
            case NextStep.Repeat repeat -> proceed();
            case NextStep.Fail failure -> fail(failure.code(), plainRetryAfterMillis(), outcome.toString());
        }
    }

    /** Goes on with the open attempts, the last of which may be replaced again if its replacement came to nothing. */
    private void leaveOthers(Attempt attempt, AttemptOutcome outcome, boolean sentLast) {
        logEnd(attempt, outcome, "wait for " + describeUpstreamWork());
        if (sentLast) {
            retry.giveBack();
            restartSilenceTimer();
        } else {
            survivingReplacement = Optional.of(openAttempts.getLast());
        }
    }

    private void logEnd(Attempt attempt, AttemptOutcome outcome, String next) {
        decisionLine("attempt ended")
                .with("instance", attempt.instance.identifier())
                .with("outcome", outcome.toString())
                .with("next", next)
                .write();
    }

    private void deliver(Attempt attempt) {
        cancelUpstream();
        deliver(attempt.head.status(), attempt.head.forwardedHeaders(), attempt.body.toByteArray(), attempt.instance);
    }

    /** One attempt at one instance. */
    private final class Attempt implements HttpListener {

        private final UpstreamInstance instance;
        private final long startedMillis = context.clock().monotonicMillis();
        private final ActivePlainAttempt work;
        private final CollectedBody body = collectBody();
        private Optional<HttpStream> stream = Optional.empty();
        private ResponseHead head;
        private boolean ended;

        /** Whether this attempt is one of the attempts sent. */
        private boolean counted;

        private Attempt(UpstreamInstance instance) {
            this.instance = instance;
            this.work = context.pool().beginPlainAttempt(instance.identifier());
        }

        private void cancel() {
            stream.ifPresent(HttpStream::cancel);
        }

        /** Ends this attempt without an outcome. */
        private void abandon() {
            markEnded();
            cancel();
        }

        private void count() {
            attemptsSent += counted ? 0 : 1;
            counted = true;
        }

        private void discount() {
            attemptsSent -= counted ? 1 : 0;
            counted = false;
        }

        @Override
        public void onHead(int status, List<HttpHeader> headers) {
            head = context.protocol().readHead(status, headers);
            context.pool().recordPlainResponse(work);
            losses.recordResponding(instance);
            head.load().ifPresent(load -> context.pool().recordLoad(instance.identifier(), load));
            if (!mayBeDelivered(head)) {
                body.discard();
            }
        }

        @Override
        public void onBytes(byte[] bytes) {
            if (ended) {
                return;
            }
            switch (body.add(bytes)) {
                case READ_ON -> {}
                case STOP -> {
                    onEnd();
                    cancel();
                }
                case TOO_LARGE -> {
                    onFailure(tooLarge());
                    cancel();
                }
            }
        }

        @Override
        public void onEnd() {
            if (!markEnded()) {
                return;
            }
            onAttemptEnded(this, classifyOutcome());
        }

        private AttemptOutcome classifyOutcome() {
            if (head.notRun()) {
                return new AttemptOutcome.Declined(head.status());
            }
            if (!belongsToRequest(head)) {
                context.pool().recordErrorResponse(instance.identifier());
                return new AttemptOutcome.Broken(
                        Failure.of(ResultCode.UPSTREAM_MALFORMED, "the response does not belong to this request"));
            }
            if (head.status() >= 500) {
                context.pool().recordErrorResponse(instance.identifier());
            } else {
                long latencyMillis = context.clock().monotonicMillis() - startedMillis;
                context.pool().recordSuccess(instance.identifier(), latencyMillis);
                context.pool().plainForecasts().recordSuccess(work, latencyMillis);
                context.crashHistory().recordSound(CrashHistory.fingerprint(request));
            }
            return new AttemptOutcome.Answered(head.status());
        }

        @Override
        public void onFailure(Failure failure) {
            if (failure.executionState() == ExecutionState.NOT_RUN || isConnectionLost(failure)) {
                context.pool().recordNoResponse(work);
            }
            if (!markEnded() || isFinished()) {
                return;
            }
            body.release();
            losses.recordLostConnection(instance, failure, head == null ? Suspicion.STRONG : Suspicion.WEAK);
            onAttemptEnded(this, recordFailedAttempt(instance, failure));
        }

        private boolean markEnded() {
            if (ended) {
                return false;
            }
            ended = true;
            context.pool().endPlainAttempt(work);
            return true;
        }
    }
}
