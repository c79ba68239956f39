package org.merlinwood.gateway.front;

import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.decision.ActiveGeneration;
import org.merlinwood.gateway.decision.AttemptOutcome;
import org.merlinwood.gateway.decision.CrashHistory;
import org.merlinwood.gateway.decision.MemoryNeed;
import org.merlinwood.gateway.decision.MemoryWaitPolicy;
import org.merlinwood.gateway.decision.MemoryWaitQueue;
import org.merlinwood.gateway.decision.NextStep;
import org.merlinwood.gateway.decision.PartFingerprints;
import org.merlinwood.gateway.decision.RetryClaim;
import org.merlinwood.gateway.decision.RetryPolicy;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.request.CallerRequest;
import org.merlinwood.gateway.request.Prompt;
import org.merlinwood.gateway.route.EngineLimits;
import org.merlinwood.gateway.route.Route;
import org.merlinwood.gateway.upstream.AttemptTerms;
import org.merlinwood.gateway.upstream.PrefillResult;
import org.merlinwood.gateway.upstream.ResponseHead;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpListener;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpStream;
import org.merlinwood.operation.log.DecisionLog;

/**
 * Processes a model request with a streamed response: reserves memory at a decode instance, has a prefill instance
 * compute the prompt, then has the decode instance generate the response.
 *
 * <p>Memory is reserved first because it is the scarce resource: a prefill result is wasted if no decode instance can
 * take it over. If a stream is interrupted and its route is resumable, it continues at another instance after its last
 * complete event. An instance that is silent may go on at any time: its attempt ends only when another instance has
 * taken over or is about to, or with the time of the request. Of the two, the one that sends first goes on. Used by the
 * event loop alone.
 */
final class StreamRequestProcessor extends RequestProcessor {

    /** Delay before excluded instances may be chosen again, in milliseconds. */
    private static final long EXCLUSION_RESET_MILLIS = 100;

    /** Time without data after which a resumable stream is offered to another instance, in milliseconds. */
    private static final long SILENCE_LIMIT_MILLIS = 1_200;

    /**
     * Time after which a silent attempt ends although its replacement, which was sent, has not been accepted yet, in
     * milliseconds: two instances must not work on one stream for longer.
     */
    private static final long OVERLAP_LIMIT_MILLIS = 200;

    /** Status of a server that is not the addressed instance, or whose stage has changed. */
    private static final int MISDIRECTED_REQUEST_STATUS = 421;

    private final Prompt prompt;
    private final EngineLimits limits;
    private final CapacityReleaser releaser = new CapacityReleaser(this);
    private final PrefillCall prefillCall;
    private final SilenceTimer silenceTimer;
    private final SilenceTimer overlapTimer;

    /** Holds the retry of the next attempt, until that has or may have reached an instance. */
    private final RetryClaim retry;

    private final EventSplitter events = new EventSplitter();
    private final Set<String> excludedInstances = new HashSet<>();
    private Optional<UpstreamWork> activeRequest = Optional.empty();
    private Optional<ActiveGeneration> activeGeneration = Optional.empty();

    /** The attempt that was sent last, until it ends or is replaced. */
    private Optional<HttpListener> currentAttempt = Optional.empty();

    /**
     * The attempt that {@link #activeRequest} replaces. It is the current attempt as well until its replacement is
     * sent, and stays open until one of the two goes on.
     */
    private Optional<SilentAttempt> silentAttempt = Optional.empty();

    /** Of the silent attempt and its replacement, since that was sent. */
    private OverlapState overlap = OverlapState.UNDECIDED;

    /** A reservation that no attempt has used yet. */
    private Optional<MemoryReservation> reservation = Optional.empty();

    private Optional<PrefillResult> prefillResult = Optional.empty();
    private int attemptsSent;
    private int unreachedAttempts;
    private Optional<QueuedRequest> queuedRequest = Optional.empty();
    private boolean responseStarted;
    private long interruptedAtMillis;
    private long lastReceivedMillis;

    /** Time without data after which the current attempt is offered to another instance, in milliseconds. */
    private long silenceLimitMillis = SILENCE_LIMIT_MILLIS;

    StreamRequestProcessor(
            RequestProcessorContext context,
            CallerRequest request,
            Route route,
            CallerChannel channel,
            Prompt prompt,
            EngineLimits limits) {
        super(context, request, route, channel);
        this.prompt = prompt;
        this.limits = limits;
        this.prefillCall = new PrefillCall(this, prompt, releaser::release);
        this.silenceTimer = new SilenceTimer(context.loop(), this::onSilence);
        this.retry = new RetryClaim(context.retryAllowance(), service);
        this.overlapTimer = new SilenceTimer(context.loop(), this::onOverlapLimit);
    }

    @Override
    void proceed() {
        if (isBlocked()) {
            failBlocked();
            return;
        }
        Optional<UpstreamInstance> choice = chooseInstance();
        if (choice.isEmpty()) {
            waitForMemory();
        } else if (limits.reservationMillis() > 0) {
            reserveMemory(choice.get());
        } else {
            startPrefill(choice.get());
        }
    }

    private Optional<UpstreamInstance> chooseInstance() {
        Set<String> excluded = new HashSet<>(excludedInstances);
        silentAttempt.ifPresent(silent -> excluded.add(silent.instance()));
        return context.pool().chooseDecode(service, prompt, limits, excluded);
    }

    private void reserveMemory(UpstreamInstance instance) {
        MemoryNeed need = context.pool().memoryNeed(instance.identifier(), prompt, limits);
        registerGeneration(instance);
        MemoryReservationCall call = new MemoryReservationCall(
                context,
                instance,
                need,
                limits.reservationMillis(),
                result -> onReservationResult(instance, result),
                releaser::release);
        activeRequest = Optional.of(new UpstreamWork("reservation", instance, call));
        call.start();
    }

    private void onReservationResult(UpstreamInstance instance, MemoryReservationCall.Result result) {
        activeRequest = Optional.empty();
        result.response().peekLeft(failure -> pauseInstance(instance, failure));
        decisionLine(result.reservation().isPresent() ? "memory reserved" : "no memory")
                .with("instance", instance.identifier())
                .with("tokens", result.tokens())
                .with("answer", result.response().fold(Failure::detail, response -> "status " + response.status()))
                .write();
        if (result.reservation().isEmpty()) {
            if (result.declined()) {
                context.pool().recordDeclinedReservation(instance.identifier(), result.tokens());
            }
            unregisterGeneration();
            excludedInstances.add(instance.identifier());
            proceed();
            return;
        }
        reservation = result.reservation();
        if (context.pool().notices().isLeaving(instance)) {
            placeAgain(instance, "the instance leaves");
            return;
        }
        if (prefillResult.isPresent()) {
            startGeneration(instance);
        } else {
            startPrefill(instance);
        }
    }

    /** Gives up what is reserved at a decode instance and chooses another one. */
    private void placeAgain(UpstreamInstance instance, String reason) {
        decisionLine("placed again")
                .with("instance", instance.identifier())
                .with("reason", reason)
                .write();
        reservation.ifPresent(releaser::release);
        reservation = Optional.empty();
        unregisterGeneration();
        excludedInstances.add(instance.identifier());
        proceed();
    }

    private void waitForMemory() {
        context.loop().schedule(EXCLUSION_RESET_MILLIS, excludedInstances::clear);
        context.demandMeter().recordNoCapacity(service);
        if (!applyWaitPolicy()) {
            return;
        }
        queuedRequest = Optional.of(new QueuedRequest());
        context.memoryWaitQueues().add(service, queuedRequest.get());
    }

    /**
     * Returns whether the request keeps waiting for memory; if not, fails it or drops its replacement. A replacement
     * waits as long as its request has time: the silent attempt may still go on meanwhile.
     */
    private boolean applyWaitPolicy() {
        if (silentAttempt.isPresent() && timeLeftMillis() > 0) {
            return true;
        }
        MemoryWaitPolicy.Situation situation = new MemoryWaitPolicy.Situation(
                context.clock().monotonicMillis() - memoryWaitStartMillis(),
                isContinuation(),
                context.pool().millisUntilCapacity(service, prompt, limits),
                context.memoryWaitQueues().size(service),
                context.pool().decodeInstances(service),
                timeLeftMillis(),
                context.clock().monotonicMillis());
        MemoryWaitPolicy.Decision decision = MemoryWaitPolicy.decide(situation);
        if (decision instanceof MemoryWaitPolicy.Decision.Refuse refuse) {
            decisionLine("no room")
                    .with("situation", situation.toString())
                    .with("next", decision.toString())
                    .write();
            failWithoutCapacity(refuse.retryAfterMillis());
            return false;
        }
        return true;
    }

    private long memoryWaitStartMillis() {
        return isContinuation() ? interruptedAtMillis : request.arrivedMillis();
    }

    private boolean isContinuation() {
        return responseStarted || silentAttempt.isPresent();
    }

    /** The entry of this request in the queue of requests that wait for memory. */
    private final class QueuedRequest implements MemoryWaitQueue.Waiter {

        @Override
        public long arrivedMillis() {
            return request.arrivedMillis();
        }

        @Override
        public long targetMillis() {
            return route.targetMillis();
        }

        @Override
        public boolean tryNow() {
            if (isFinished()) {
                return true;
            }
            if (isBlocked() || (timeLeftMillis() > 0 && chooseInstance().isPresent())) {
                queuedRequest = Optional.empty();
                proceed();
                return true;
            }
            if (!applyWaitPolicy()) {
                queuedRequest = Optional.empty();
                return true;
            }
            return false;
        }

        @Override
        public void onException(RuntimeException exception) {
            queuedRequest = Optional.empty();
            String reason = "the search for memory threw " + exception;
            if (silentAttempt.isPresent()) {
                dropReplacement(reason);
            } else {
                fail(ResultCode.INTERNAL, 0, reason);
            }
        }
    }

    private void failWithoutCapacity(long retryAfterMillis) {
        if (silentAttempt.isPresent()) {
            dropReplacement("no instance has enough free memory");
        } else {
            fail(ResultCode.NO_CAPACITY, retryAfterMillis, "no instance has enough free memory");
        }
    }

    private void startPrefill(UpstreamInstance decodeInstance) {
        activeRequest = Optional.empty();
        prefillCall.start(decodeInstance, result -> {
            prefillResult = result;
            startGeneration(decodeInstance);
        });
    }

    private void startGeneration(UpstreamInstance instance) {
        if (isBlocked()) {
            failBlocked();
            return;
        }
        if (context.pool().notices().isDeclining(instance)) {
            placeAgain(instance, "the instance wants no request now");
            return;
        }
        AttemptTerms terms = new AttemptTerms(
                upstreamTimeLeftMillis(),
                reservation.map(MemoryReservation::identifier),
                prefillResult,
                lastDeliveredEvent());
        decisionLine("send")
                .with("instance", instance.identifier())
                .with("attemptsBefore", attemptsSent)
                .with(
                        "prefill",
                        prefillResult
                                .map(result -> result.instance().identifier())
                                .orElse("none"))
                .with("behindEvent", terms.lastEvent().orElse(-1))
                .write();
        HttpRequest generationRequest = context.protocol()
                .run(instance, request, terms)
                .withTimeouts(CONNECT_TIMEOUT_MILLIS, Math.max(1, timeLeftMillis()));
        if (activeGeneration.isEmpty()) {
            registerGeneration(instance);
        }
        GenerationAttempt generation = new GenerationAttempt(instance, prefillResult);
        currentAttempt = Optional.of(generation);
        if (silentAttempt.isPresent()) {
            overlap = OverlapState.UNDECIDED;
            overlapTimer.restart(OVERLAP_LIMIT_MILLIS);
        } else {
            silenceLimitMillis = SILENCE_LIMIT_MILLIS;
            recordReceived();
        }
        reservation = Optional.empty();
        prefillResult = Optional.empty();
        context.crashCausingParts().recordSent(sharedParts);
        HttpStream stream = context.client().send(instance, generationRequest, generation);
        generation.stream = Optional.of(stream);
        activeRequest = Optional.of(new UpstreamWork("generation", instance, stream));
    }

    private void failBlocked() {
        String reason = "requests like this one lost their instances";
        if (silentAttempt.isPresent()) {
            dropReplacement(reason);
        } else {
            fail(ResultCode.NO_INSTANCE, 0, reason);
        }
    }

    /** Records that the current attempt was sent or that its instance has sent something. */
    private void recordReceived() {
        if (isFinished()) {
            return;
        }
        lastReceivedMillis = context.clock().monotonicMillis();
        if (route.resumable() && silentAttempt.isEmpty()) {
            silenceTimer.restart(silenceLimitMillis);
        }
    }

    /**
     * Drops the replacement because the silent instance goes on. The next one is prepared only after a longer silence:
     * an instance that pauses again and again would have the prompt computed for nothing each time.
     */
    private void onSilentInstanceGoesOn() {
        if (silentAttempt.isPresent() && !isFinished()) {
            silenceLimitMillis *= 2;
            dropReplacement("the silent instance goes on");
        }
    }

    /** Prepares a replacement of the current attempt if a retry is allowed; otherwise keeps waiting. */
    private void onSilence() {
        retry.markUsed();
        UpstreamWork silent = activeRequest.orElseThrow();
        Failure silence = Failure.of(ResultCode.UPSTREAM_TIMEOUT, "the instance is silent");
        pauseInstance(silent.instance(), silence);
        NextStep step = RetryPolicy.decide(
                new AttemptOutcome.Broken(silence), route, attemptsSent + 1, unreachedAttempts, this::tryAcquireRetry);
        boolean replaced = step instanceof NextStep.Repeat;
        decisionLine("instance silent")
                .with("instance", silent.instance().identifier())
                .with("silentMillis", context.clock().monotonicMillis() - lastReceivedMillis)
                .with("next", replaced ? "replace" : "wait")
                .write();
        context.metrics().count(replaced ? "silent_attempts_offered" : "silent_attempts_kept");
        if (!replaced) {
            silenceTimer.restart(silenceLimitMillis);
            return;
        }
        silentAttempt = Optional.of(new SilentAttempt(silent, activeGeneration, currentAttempt.orElseThrow()));
        activeRequest = Optional.empty();
        activeGeneration = Optional.empty();
        interruptedAtMillis = context.clock().monotonicMillis();
        prefillCall.clearTriedInstances();
        proceed();
    }

    /** Gives up what was prepared to replace the silent attempt, and waits for its instance again. */
    private void dropReplacement(String reason) {
        SilentAttempt kept = silentAttempt.orElseThrow();
        if (isReplacementSent()) {
            attemptsSent++;
            recordUnknownOutcome(ResultCode.UPSTREAM_TIMEOUT);
            retry.markUsed();
        }
        retry.giveBack();
        overlapTimer.stop();
        silentAttempt = Optional.empty();
        currentAttempt = Optional.of(kept.attempt());
        cancelPlacement();
        activeRequest = Optional.of(kept.work());
        activeGeneration = kept.generation();
        silenceTimer.restart(silenceLimitMillis);
        decisionLine("replacement dropped")
                .with("instance", kept.instance())
                .with("reason", reason)
                .write();
    }

    /** Returns whether the replacement of the silent attempt was sent and has neither been accepted nor ended. */
    private boolean isReplacementSent() {
        return silentAttempt.isPresent()
                && currentAttempt.isPresent()
                && !currentAttempt.equals(silentAttempt.map(SilentAttempt::attempt));
    }

    /** Ends one of two attempts that have been open together for as long as they may be; neither has sent an event. */
    private void onOverlapLimit() {
        if (isFinished()) {
            return;
        }
        switch (overlap) {
            case UNDECIDED -> cancelSilentAttempt();
            case SILENT_INSTANCE_BEGAN -> onSilentInstanceGoesOn();
            case REPLACEMENT_REFUSED -> dropReplacement("the replacement was refused");
        }
    }

    /** Ends the silent attempt because its replacement has been accepted, or could be at any moment. */
    private void cancelSilentAttempt() {
        silentAttempt.ifPresent(silent -> {
            endSilentAttempt(silent);
            recordUnknownOutcome(ResultCode.UPSTREAM_TIMEOUT);
            silent.work().request().cancel();
            decisionLine("silent attempt replaced")
                    .with("instance", silent.instance())
                    .with("silentMillis", context.clock().monotonicMillis() - lastReceivedMillis)
                    .write();
            silenceLimitMillis = SILENCE_LIMIT_MILLIS;
            recordReceived();
        });
    }

    /**
     * Records that the silent attempt ended by itself. Its replacement, which is being prepared or sent, is its retry.
     */
    private void onSilentAttemptEnded(SilentAttempt silent, AttemptOutcome outcome) {
        endSilentAttempt(silent);
        interruptedAtMillis = context.clock().monotonicMillis();
        if (outcome instanceof AttemptOutcome.Broken broken) {
            recordUnknownOutcome(broken.failure().code());
        }
        decisionLine("attempt ended")
                .with("instance", silent.instance())
                .with("outcome", outcome.toString())
                .with("next", "its replacement")
                .write();
        if (currentAttempt.isPresent()) {
            silenceLimitMillis = SILENCE_LIMIT_MILLIS;
            recordReceived();
        }
    }

    private void endSilentAttempt(SilentAttempt silent) {
        overlapTimer.stop();
        currentAttempt = isReplacementSent() ? currentAttempt : Optional.empty();
        silentAttempt = Optional.empty();
        attemptsSent++;
        events.discardIncomplete();
        silent.generation().ifPresent(context.pool()::endGeneration);
    }

    /**
     * Returns the number of the event after which the next attempt continues: the last one that the caller received
     * here, otherwise the one that the caller named in its request, otherwise 0 for a started response.
     */
    private OptionalLong lastDeliveredEvent() {
        if (events.lastEventNumber().isPresent()) {
            return events.lastEventNumber();
        }
        if (request.lastEvent().isPresent()) {
            return request.lastEvent();
        }
        return responseStarted ? OptionalLong.of(0) : OptionalLong.empty();
    }

    private void onAttemptEnded(GenerationAttempt generation, AttemptOutcome outcome) {
        activeRequest = Optional.empty();
        currentAttempt = silentAttempt.map(SilentAttempt::attempt);
        overlapTimer.stop();
        silenceTimer.stop();
        interruptedAtMillis = context.clock().monotonicMillis();
        unregisterGeneration();
        if (isFinished()) {
            return;
        }
        if (!(outcome instanceof AttemptOutcome.Unreached)) {
            retry.markUsed();
        }
        boolean prefillResultLost = outcome instanceof AttemptOutcome.Declined && generation.prefillUsed.isPresent();
        if (outcome instanceof AttemptOutcome.Unreached) {
            unreachedAttempts++;
            prefillResult = generation.prefillUsed;
            excludedInstances.add(generation.instance.identifier());
        } else if (!prefillResultLost) {
            attemptsSent++;
        }
        if (outcome instanceof AttemptOutcome.Broken broken) {
            recordUnknownOutcome(broken.failure().code());
        }
        NextStep step = decideNextStep(outcome, prefillResultLost);
        decisionLine("attempt ended")
                .with("instance", generation.instance.identifier())
                .with("outcome", outcome.toString())
                .with("next", step.toString())
                .write();
        executeNextStep(generation, outcome, step, prefillResultLost);
    }

    /** Returns whether a replacement was not run although it was sent. */
    private boolean isDeclinedReplacement(AttemptOutcome outcome) {
        return silentAttempt.isPresent() && outcome instanceof AttemptOutcome.Declined;
    }

    /** Decides what follows an attempt; a failure that follows a replacement only means that there is no other one. */
    private NextStep decideNextStep(AttemptOutcome outcome, boolean prefillResultLost) {
        if (prefillResultLost) {
            return nextStepWithoutPrefillResult();
        }
        if (isDeclinedReplacement(outcome)) {
            return new NextStep.Fail(ResultCode.NO_CAPACITY);
        }
        int openAttempts = silentAttempt.isPresent() ? 1 : 0;
        return RetryPolicy.decide(
                outcome, route, attemptsSent + openAttempts, unreachedAttempts, this::tryAcquireRetry);
    }

    private void executeNextStep(
            GenerationAttempt generation, AttemptOutcome outcome, NextStep step, boolean prefillResultLost) {
        if (silentAttempt.isPresent() && !(step instanceof NextStep.Repeat)) {
            dropReplacement(outcome.toString());
            return;
        }
        switch (step) {
            case NextStep.Deliver deliver ->
                deliver(
                        generation.head.status(),
                        generation.head.forwardedHeaders(),
                        generation.body.toByteArray(),
                        generation.instance);
            case NextStep.Repeat repeat -> {
                if (prefillResultLost) {
                    startGeneration(generation.instance);
                } else {
                    prefillCall.clearTriedInstances();
                    proceed();
                }
            }
            case NextStep.Fail failure ->
                fail(
                        failure.code(),
                        MemoryWaitPolicy.retryAfterMillis(
                                0, timeLeftMillis(), context.clock().monotonicMillis()),
                        outcome.toString());
        }
    }

    /** Consumes one retry of the allowance if there is one and its response could still reach the caller in time. */
    private boolean tryAcquireRetry() {
        return timeLeftMillis() > 0 && retry.tryAcquire();
    }

    /**
     * Decides what follows when an instance declines because the prefill result no longer exists: if the retry
     * allowance permits, the same instance is sent the request again and computes the prompt itself.
     */
    private NextStep nextStepWithoutPrefillResult() {
        return retry.tryAcquire() ? new NextStep.Repeat() : new NextStep.Fail(ResultCode.TRANSFER_FAILED);
    }

    private void completeStream(GenerationAttempt generation) {
        context.crashHistory().remove(CrashHistory.fingerprint(request));
        context.pool().recordSuccess(generation.instance.identifier(), generation.millisPerEvent());
        silenceTimer.stop();
        if (!finish()) {
            return;
        }
        int generatedTokens =
                activeGeneration.map(ActiveGeneration::generatedTokens).orElse(0);
        unregisterGeneration();
        decisionLine("answered")
                .with("status", generation.head.status())
                .with("instance", generation.instance.identifier())
                .with("events", generation.eventCount)
                .with("generatedTokens", generatedTokens)
                .with("lengthHint", prompt.lengthHint().orElse(-1))
                .with("longestTokens", prompt.outputTokens())
                .with("firstEventMillis", generation.firstEventElapsedMillis)
                .write();
        context.metrics().recordCompletion(route.kind(), generation.head.status(), elapsedMillis());
        generation.beginResponse();
        channel.end();
    }

    @Override
    void cancelUpstream() {
        silenceTimer.stop();
        overlapTimer.stop();
        boolean attemptOpen = currentAttempt.isPresent() && (silentAttempt.isEmpty() || isReplacementSent());
        if (!attemptOpen) {
            retry.giveBack();
        }
        cancelPlacement();
        silentAttempt.ifPresent(silent -> {
            silent.generation().ifPresent(context.pool()::endGeneration);
            silent.work().request().cancel();
        });
    }

    /** Cancels the active request, and releases what is reserved for an attempt that was not sent. */
    private void cancelPlacement() {
        prefillCall.cancel();
        activeRequest.ifPresent(work -> work.request().cancel());
        activeRequest = Optional.empty();
        unregisterGeneration();
        reservation.ifPresent(releaser::release);
        reservation = Optional.empty();
        prefillResult.ifPresent(releaser::release);
        prefillResult = Optional.empty();
        queuedRequest.ifPresent(waiter -> context.memoryWaitQueues().remove(service, waiter));
        queuedRequest = Optional.empty();
    }

    @Override
    String describeUpstreamWork() {
        return prefillCall
                .activeInstance()
                .map(instance -> "prefill at " + instance.identifier())
                .or(() -> activeRequest.map(
                        work -> work.purpose() + " at " + work.instance().identifier()))
                .or(() -> silentAttempt.map(silent -> "silent generation at " + silent.instance()))
                .orElse("none");
    }

    @Override
    boolean responseStarted() {
        return responseStarted;
    }

    @Override
    DecisionLog.Line addProgress(DecisionLog.Line line) {
        return line.with("attemptsSent", attemptsSent)
                .with("silentMillis", context.clock().monotonicMillis() - lastReceivedMillis);
    }

    @Override
    ResultCode timeoutCode() {
        return currentAttempt.isPresent() || attemptsSent > 0 ? ResultCode.DEADLINE_PASSED : ResultCode.NO_CAPACITY;
    }

    private void registerGeneration(UpstreamInstance instance) {
        activeGeneration = Optional.of(context.pool().beginGeneration(instance.identifier(), prompt));
    }

    private void unregisterGeneration() {
        activeGeneration.ifPresent(context.pool()::endGeneration);
        activeGeneration = Optional.empty();
    }

    /** One attempt to generate the response, at one instance. */
    private final class GenerationAttempt implements HttpListener {

        private final UpstreamInstance instance;
        private final Optional<PrefillResult> prefillUsed;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();

        /** Cancels this attempt, whichever of two it is; empty while it is being sent. */
        private Optional<HttpStream> stream = Optional.empty();

        private ResponseHead head;
        private boolean streaming;
        private final long sentMillis = context.clock().monotonicMillis();
        private long firstEventElapsedMillis = -1;
        private long firstEventAtMillis;
        private int eventCount;

        private GenerationAttempt(UpstreamInstance instance, Optional<PrefillResult> prefillUsed) {
            this.instance = instance;
            this.prefillUsed = prefillUsed;
        }

        /** Returns the mean time between events in milliseconds, at least 1; a measure of the instance's speed. */
        private long millisPerEvent() {
            long streamedMillis = context.clock().monotonicMillis() - firstEventAtMillis;
            return Math.max(1, streamedMillis / Math.max(1, eventCount));
        }

        @Override
        public void onHead(int status, List<HttpHeader> headers) {
            recordReceived();
            head = context.protocol().readHead(status, headers);
            head.load().ifPresent(load -> context.pool().recordLoad(instance.identifier(), load));
            streaming = head.success() && belongsToRequest();
            if (streaming) {
                onAccepted();
            } else if (isReplacementOfOpenAttempt()) {
                overlap = OverlapState.REPLACEMENT_REFUSED;
            }
        }

        /**
         * Ends the silent attempt that this one replaces, or drops the replacement of this one unless it was sent: then
         * the first complete event decides.
         */
        private void onAccepted() {
            if (isReplacementOfOpenAttempt()) {
                cancelSilentAttempt();
            } else if (isReplacementSent()) {
                overlap = OverlapState.SILENT_INSTANCE_BEGAN;
            } else {
                onSilentInstanceGoesOn();
            }
        }

        /**
         * Forwards the head, before the first part of the response. Until then the caller has received nothing, so an
         * error response can still be sent, and another attempt can send its own head.
         */
        private void beginResponse() {
            if (!responseStarted) {
                responseStarted = true;
                channel.begin(head.status(), head.forwardedHeaders());
            }
        }

        private boolean belongsToRequest() {
            return head.attempt().equals(request.attempt()) && head.signed() && !head.encoded();
        }

        @Override
        public void onBytes(byte[] bytes) {
            recordReceived();
            if (!streaming) {
                body.writeBytes(bytes);
                return;
            }
            forward(events.split(bytes));
            if (events.exceedsLimit()) {
                onFailure(Failure.of(
                        ResultCode.UPSTREAM_MALFORMED,
                        "an event exceeds " + EventSplitter.MAXIMUM_EVENT_BYTES + " bytes"));
                stream.ifPresent(HttpStream::cancel);
            }
        }

        private void forward(byte[] completeEvents) {
            if (completeEvents.length == 0 || isFinished()) {
                return;
            }
            onSilentInstanceGoesOn();
            eventCount++;
            context.crashCausingParts().recordSignOfLife(instance);
            activeGeneration.ifPresent(generation -> generation.addTokens(limits.tokensPerEvent()));
            if (firstEventElapsedMillis < 0) {
                firstEventElapsedMillis = elapsedMillis();
                firstEventAtMillis = context.clock().monotonicMillis();
                context.crashCausingParts().recordBegun(sharedParts);
                context.metrics().recordDuration("first_event_milliseconds", firstEventElapsedMillis);
            }
            beginResponse();
            channel.write(completeEvents);
        }

        @Override
        public void onEnd() {
            recordReceived();
            if (streaming && events.isInsideEvent()) {
                onFailure(Failure.of(ResultCode.UPSTREAM_TRUNCATED, "the response ended inside an event"));
                return;
            }
            if (streaming) {
                onSilentInstanceGoesOn();
                completeStream(this);
                return;
            }
            endAttempt(classifyOutcome());
        }

        private AttemptOutcome classifyOutcome() {
            if (head.notRun()) {
                if (head.status() == MISDIRECTED_REQUEST_STATUS) {
                    context.pool().recordFailure(instance.identifier());
                }
                return new AttemptOutcome.Declined(head.status());
            }
            if (!belongsToRequest() || responseStarted) {
                context.pool().recordErrorResponse(instance.identifier());
                return new AttemptOutcome.Broken(
                        Failure.of(ResultCode.UPSTREAM_MALFORMED, "the response does not belong to this request"));
            }
            context.pool().recordErrorResponse(instance.identifier());
            return new AttemptOutcome.Answered(head.status());
        }

        @Override
        public void onFailure(Failure failure) {
            if (isFinished() || !isOpen()) {
                return;
            }
            if (!isReplacementOfOpenAttempt()) {
                events.discardIncomplete();
            }
            recordLostGeneration(failure);
            endAttempt(recordFailedAttempt(instance, failure));
        }

        private boolean isOpen() {
            return currentAttempt.equals(Optional.of(this))
                    || silentAttempt.map(SilentAttempt::attempt).equals(Optional.of(this));
        }

        private boolean isReplacementOfOpenAttempt() {
            return isReplacementSent() && currentAttempt.equals(Optional.of(this));
        }

        /** Records a lost connection; the request is a suspect if its response had not begun. */
        private void recordLostGeneration(Failure failure) {
            if (failure.code() != ResultCode.CONNECTION_LOST && failure.code() != ResultCode.UPSTREAM_TRUNCATED) {
                return;
            }
            boolean suspect = firstEventElapsedMillis < 0;
            decisionLine("generation lost")
                    .with("instance", instance.identifier())
                    .with("suspect", String.valueOf(suspect))
                    .with("parts", PartFingerprints.describe(prompt))
                    .write();
            context.metrics()
                    .count(suspect ? "generations_lost_before_first_event" : "generations_lost_after_first_event");
            context.crashCausingParts().recordLoss(instance, sentMillis, suspect ? sharedParts : List.of());
        }

        /** Ends this attempt. A replacement that is being prepared is its retry, unless the instance has answered. */
        private void endAttempt(AttemptOutcome outcome) {
            if (isReplacementOfOpenAttempt()) {
                onAttemptEnded(this, outcome);
                return;
            }
            boolean answered = outcome instanceof AttemptOutcome.Answered;
            if (silentAttempt.isPresent() && !answered && !isFinished()) {
                onSilentAttemptEnded(silentAttempt.get(), outcome);
                return;
            }
            onSilentInstanceGoesOn();
            onAttemptEnded(this, outcome);
        }
    }
}
