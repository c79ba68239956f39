package org.merlinwood.gateway.front;

import java.util.Optional;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.crash.CrashHistory;
import org.merlinwood.gateway.decision.AttemptOutcome;
import org.merlinwood.gateway.decision.MemoryWaitPolicy;
import org.merlinwood.gateway.decision.NextStep;
import org.merlinwood.gateway.decision.PendingGeneration;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.request.CallerRequest;
import org.merlinwood.gateway.request.Prompt;
import org.merlinwood.gateway.route.EngineLimits;
import org.merlinwood.gateway.route.Route;
import org.merlinwood.gateway.upstream.AttemptTerms;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.operation.log.DecisionLog;

/**
 * Processes a request with a streamed response, of a model service or a plain one: sends the attempts that a
 * {@link StreamPlacement} prepares, and decides what follows each {@link GenerationAttempt}.
 *
 * <p>If a stream is interrupted and its route is resumable, it continues at another instance after its last complete
 * event. An instance that is silent may go on at any time: its attempt ends only when another instance has taken over
 * or is about to, or with the time of the request. Of the two, the one that sends first goes on. Used by the event loop
 * alone.
 */
final class StreamRequestProcessor extends RequestProcessor {

    /** Number of tokens in one event of a service without engines, for which tokens are not counted. */
    private static final int PLAIN_TOKENS_PER_EVENT = 0;

    private final Prompt prompt;
    private final int tokensPerEvent;
    private final StreamResponse response;
    private final StreamBinding binding;
    private final StreamRetries retries;
    private final GenerationRegistration registration;
    private final StreamPlacement placement;
    private final OpenAttempts attempts;

    /** The attempt with the last error response, which is forwarded if the request can't be sent again. */
    private Optional<GenerationAttempt> lastAnsweredAttempt = Optional.empty();

    /**
     * Creates a processor that has not started.
     *
     * @param context the components that all processors share
     * @param request the request
     * @param route its route
     * @param channel receives the response
     * @param limits limits of the engines of its service; empty for a service without engines
     */
    StreamRequestProcessor(
            RequestProcessorContext context,
            CallerRequest request,
            Route route,
            CallerChannel channel,
            Optional<EngineLimits> limits) {
        super(context, request, route, channel);
        this.prompt = request.prompt().orElse(Prompt.NONE);
        this.tokensPerEvent = limits.map(EngineLimits::tokensPerEvent).orElse(PLAIN_TOKENS_PER_EVENT);
        this.response = new StreamResponse(request, channel);
        this.binding = new StreamBinding(this);
        this.retries = new StreamRetries(this);
        this.registration = new GenerationRegistration(context.pool(), this::pendingGeneration);
        this.placement = limits.<StreamPlacement>map(
                        engines -> new GenerationPlacement(this, prompt, engines, registration))
                .orElseGet(() -> new PlainStreamPlacement(this, registration));
        this.attempts = new OpenAttempts(this, response, retries, registration, placement);
        context.metrics().count(StreamBinding.isTakenUp(request) ? "streams_taken_up" : "streams_new");
    }

    @Override
    void proceed() {
        if (isBlocked()) {
            giveUpBlockedAttempt();
        } else if (binding.isResolved()) {
            placement.start();
        } else {
            binding.resolve(this::onBindingResolved);
        }
    }

    private void onBindingResolved(boolean found) {
        if (isFinished()) {
            return;
        }
        if (found) {
            runStep(this::proceed);
        } else {
            context.metrics().count("streams_of_unknown_version");
            fail(ResultCode.STREAM_VERSION_UNKNOWN, 0, "no entry knows the version that began the stream");
        }
    }

    /** Returns the software version that the next attempt must have; empty if it may be any. */
    Optional<String> requiredVersion() {
        return binding.version();
    }

    /** Returns what the next attempt has to generate: all of the response, or what the caller doesn't have yet. */
    PendingGeneration pendingGeneration() {
        long generatedTokens = response.lastDeliveredEvent().orElse(0) * tokensPerEvent;
        return new PendingGeneration(prompt, (int) Math.min(generatedTokens, prompt.outputTokens()), binding.version());
    }

    /** Returns the instance whose silent attempt is being replaced; empty if there is none. */
    Optional<String> silentInstance() {
        return attempts.silentInstance();
    }

    /**
     * Returns whether an attempt that is prepared continues a response, which the caller may have begun to receive
     * elsewhere, or replaces a silent attempt.
     */
    boolean isContinuation() {
        return response.started() || attempts.isReplacing() || StreamBinding.isTakenUp(request);
    }

    /** Returns the monotonic time from which on the wait for memory counts, in milliseconds. */
    long memoryWaitStartMillis() {
        return isContinuation()
                ? Math.max(request.arrivedMillis(), attempts.interruptedAtMillis())
                : request.arrivedMillis();
    }

    private void giveUpBlockedAttempt() {
        giveUpAttempt(ResultCode.NO_INSTANCE, 0, "requests like this one lost their instances");
    }

    /**
     * Gives up the attempt that is being prepared: the silent one that it should replace goes on; if there is none the
     * caller gets the error response of an earlier attempt, or the request fails.
     */
    void giveUpAttempt(ResultCode code, long retryAfterMillis, String reason) {
        if (attempts.isReplacing()) {
            attempts.dropReplacement(reason);
        } else if (lastAnsweredAttempt.isPresent() && !response.started()) {
            cancelUpstream();
            deliverResponse(lastAnsweredAttempt.get());
        } else {
            fail(code, retryAfterMillis, reason);
        }
    }

    private void deliverResponse(GenerationAttempt attempt) {
        deliver(attempt.head().status(), attempt.head().forwardedHeaders(), attempt.body(), attempt.instance());
    }

    /** Gives up the attempt that is being prepared, since no instance runs the version of the stream any more. */
    void giveUpAttemptOfGoneVersion() {
        context.metrics().count("streams_of_gone_version");
        giveUpAttempt(ResultCode.STREAM_VERSION_GONE, 0, "no instance runs the version that began the stream");
    }

    /** Sends an attempt to an instance at which everything is prepared. */
    void startGeneration(UpstreamInstance instance) {
        if (isBlocked()) {
            giveUpBlockedAttempt();
            return;
        }
        Optional<ResultCode> refusal = callerRefusal();
        if (refusal.isPresent()) {
            giveUpAttempt(
                    refusal.get(),
                    callerRetryAfterMillis(refusal.get()),
                    "the key of the caller is not valid for certain any more");
            return;
        }
        if (context.pool().notices().isDeclining(instance)) {
            placement.placeAgain(instance, "the instance wants no request now");
            return;
        }
        if (!binding.accepts(instance)) {
            placement.placeAgain(instance, "the instance runs another version now");
            return;
        }
        AttemptTerms terms = new AttemptTerms(
                upstreamTimeLeftMillis(),
                placement.reservationIdentifier(),
                placement.prefillResult(),
                response.lastDeliveredEvent());
        logSend(instance, terms);
        HttpRequest generationRequest = context.protocol()
                .run(instance, request, terms)
                .withTimeouts(CONNECT_TIMEOUT_MILLIS, Math.max(1, timeLeftMillis()));
        registration.beginIfAbsent(instance);
        GenerationAttempt attempt =
                new GenerationAttempt(this, attempts, response, prompt, instance, placement.prefillResult());
        attempts.begin(attempt);
        recordRun();
        binding.onSend(instance);
        placement.handOver();
        context.crashCausingParts().recordSent(sharedParts);
        attempts.sent(attempt, context.client().send(instance, generationRequest, attempt));
    }

    private void logSend(UpstreamInstance instance, AttemptTerms terms) {
        String prefillInstance =
                terms.prefill().map(result -> result.instance().identifier()).orElse("none");
        decisionLine("send")
                .with("instance", instance.identifier())
                .with("version", instance.version())
                .with("attemptsBefore", retries.attemptsSent())
                .with("prefill", prefillInstance)
                .with("behindEvent", terms.lastEvent().orElse(-1))
                .write();
    }

    /** Returns whether the caller may have complete events of an instance, which bind the stream to its version. */
    boolean mayForwardEventsOf(UpstreamInstance instance) {
        boolean allowed = binding.onEvents(instance);
        if (allowed && !response.started()) {
            context.metrics().count(StreamBinding.isTakenUp(request) ? "streams_taken_up_begun" : "streams_new_begun");
        }
        return allowed;
    }

    /** Records that an attempt, the one that goes on from here, has received complete events. */
    void onEvents() {
        attempts.onSilentInstanceGoesOn();
        registration.addTokens(tokensPerEvent);
    }

    /** Decides what follows an attempt that has ended without a complete stream. */
    void onAttemptEnded(GenerationAttempt attempt, AttemptOutcome outcome) {
        if (!isFinished()) {
            recordRunOutcome(outcome);
        }
        if (!attempts.end(attempt, outcome) || isFinished()) {
            return;
        }
        boolean prefillResultLost = outcome instanceof AttemptOutcome.Declined declined
                && !declined.misdirected()
                && attempt.prefillUsed().isPresent();
        recordOutcome(attempt, outcome, prefillResultLost);
        NextStep step = decideNextStep(outcome, prefillResultLost);
        logEnd(attempt, outcome, step.toString());
        executeNextStep(attempt, outcome, step, prefillResultLost);
    }

    private void recordOutcome(GenerationAttempt attempt, AttemptOutcome outcome, boolean prefillResultLost) {
        if (outcome instanceof AttemptOutcome.Unreached) {
            retries.countUnreached();
            placement.restore(attempt.prefillUsed());
            placement.exclude(attempt.instance());
            return;
        }
        if (outcome instanceof AttemptOutcome.Declined declined && declined.misdirected()) {
            placement.restore(attempt.prefillUsed());
            placement.exclude(attempt.instance());
        }
        retries.markUsed();
        if (!prefillResultLost && !isDeclinedReplacement(attempt, outcome)) {
            retries.countSent();
        }
        if (outcome instanceof AttemptOutcome.Broken broken) {
            recordUnknownOutcome(broken.failure().code());
        }
        if (outcome instanceof AttemptOutcome.Answered) {
            lastAnsweredAttempt = Optional.of(attempt);
        }
    }

    /**
     * Returns whether an attempt replaced a silent one, which has ended, and was declined. The silent attempt was given
     * up for it, and it was not run, so it doesn't use up an attempt. There is one at most for each silence.
     */
    private boolean isDeclinedReplacement(GenerationAttempt attempt, AttemptOutcome outcome) {
        return outcome instanceof AttemptOutcome.Declined && attempts.hasOutlivedSilentAttempt(attempt);
    }

    /** Decides what follows an attempt; a failure that follows a replacement only means that there is no other one. */
    private NextStep decideNextStep(AttemptOutcome outcome, boolean prefillResultLost) {
        if (prefillResultLost) {
            return retries.decideWithoutPrefillResult();
        }
        boolean replacement = attempts.isReplacing();
        if (replacement && outcome instanceof AttemptOutcome.Declined) {
            return new NextStep.Fail(ResultCode.NO_CAPACITY);
        }
        return retries.decide(outcome, replacement ? 1 : 0);
    }

    private void executeNextStep(
            GenerationAttempt attempt, AttemptOutcome outcome, NextStep step, boolean prefillResultLost) {
        if (attempts.isReplacing() && !(step instanceof NextStep.Repeat)) {
            attempts.dropReplacement(outcome.toString());
            return;
        }
        switch (step) {
            case NextStep.Deliver deliver -> deliverResponse(attempt);
            case NextStep.Repeat repeat -> {
                if (prefillResultLost) {
                    startGeneration(attempt.instance());
                } else {
                    placement.clearTriedPrefillInstances();
                    proceed();
                }
            }
            case NextStep.Fail failure ->
                giveUpAttempt(
                        failure.code(),
                        MemoryWaitPolicy.retryAfterMillis(
                                0, timeLeftMillis(), context.clock().monotonicMillis()),
                        outcome.toString());
        }
    }

    /** Writes a log line for the end of an attempt. */
    void logEnd(GenerationAttempt attempt, AttemptOutcome outcome, String next) {
        decisionLine("attempt ended")
                .with("instance", attempt.instance().identifier())
                .with("outcome", outcome.toString())
                .with("next", next)
                .write();
    }

    /** Ends the response of the caller behind the last event of a complete stream. */
    void completeStream(GenerationAttempt attempt) {
        attempts.complete();
        context.crashHistory().recordSound(CrashHistory.fingerprint(request));
        context.pool().recordSuccess(attempt.instance().identifier(), placement.latencyMillis(attempt));
        if (!finish()) {
            return;
        }
        int generatedTokens = registration.generatedTokens();
        registration.end();
        attempt.addResponse(decisionLine("answered"), generatedTokens).write();
        context.metrics().recordCompletion(route.kind(), attempt.head().status(), elapsedMillis());
        response.end(attempt.head());
    }

    @Override
    void cancelUpstream() {
        attempts.cancel();
    }

    @Override
    String describeUpstreamWork() {
        return attempts.describe().orElse("none");
    }

    @Override
    boolean responseStarted() {
        return response.started();
    }

    @Override
    DecisionLog.Line addProgress(DecisionLog.Line line) {
        return line.with("attemptsSent", retries.attemptsSent()).with("silentMillis", attempts.silentMillis());
    }

    @Override
    ResultCode timeoutCode() {
        return attempts.isAnyOpen() || retries.attemptsSent() > 0 ? ResultCode.DEADLINE_PASSED : ResultCode.NO_CAPACITY;
    }
}
