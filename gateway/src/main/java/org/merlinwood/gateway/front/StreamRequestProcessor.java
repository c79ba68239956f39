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

/**
 * Processes a model request with a streamed response: reserves memory at a decode instance, has a prefill instance
 * compute the prompt, then has the decode instance generate the response.
 *
 * <p>Memory is reserved first because it is the scarce resource: a prefill result is wasted if no decode instance can
 * take it over. If a stream is interrupted and its route is resumable, it continues at another instance after its last
 * complete event. Used by the event loop alone.
 */
final class StreamRequestProcessor extends RequestProcessor {

    /** Delay before excluded instances may be chosen again, in milliseconds. */
    private static final long EXCLUSION_RESET_MILLIS = 100;

    /** Read timeout after which a resumable stream is retried, in milliseconds. */
    private static final long RESUMABLE_READ_TIMEOUT_MILLIS = 1_200;

    /** Status of a server that is not the addressed instance, or whose stage has changed. */
    private static final int MISDIRECTED_REQUEST_STATUS = 421;

    private final Prompt prompt;
    private final EngineLimits limits;
    private final PrefillCall prefillCall;
    private final EventSplitter events = new EventSplitter();
    private final Set<String> excludedInstances = new HashSet<>();
    private Optional<UpstreamWork> activeRequest = Optional.empty();
    private Optional<ActiveGeneration> activeGeneration = Optional.empty();

    /** A reservation that no attempt has used yet. */
    private Optional<MemoryReservation> reservation = Optional.empty();

    private Optional<PrefillResult> prefillResult = Optional.empty();
    private int attemptsSent;
    private int unreachedAttempts;
    private Optional<QueuedRequest> queuedRequest = Optional.empty();
    private boolean responseStarted;
    private boolean attemptRunning;
    private long interruptedAtMillis;

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
        this.prefillCall = new PrefillCall(this, prompt, this::release);
    }

    @Override
    void proceed() {
        Optional<UpstreamInstance> choice = context.pool().chooseDecode(service, prompt, limits, excludedInstances);
        if (choice.isEmpty()) {
            waitForMemory();
        } else if (limits.reservationMillis() > 0) {
            reserveMemory(choice.get());
        } else {
            startPrefill(choice.get());
        }
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
                this::release);
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
        reservation.ifPresent(this::release);
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

    /** Returns whether the request keeps waiting for memory; if not, fails it or aborts its stream. */
    private boolean applyWaitPolicy() {
        MemoryWaitPolicy.Situation situation = new MemoryWaitPolicy.Situation(
                context.clock().monotonicMillis() - memoryWaitStartMillis(),
                responseStarted,
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
        return responseStarted ? interruptedAtMillis : request.arrivedMillis();
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
            Optional<UpstreamInstance> choice = context.pool().chooseDecode(service, prompt, limits, excludedInstances);
            if (choice.isPresent()) {
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
    }

    private void failWithoutCapacity(long retryAfterMillis) {
        if (responseStarted) {
            abortStream("no instance has enough free memory to resume the stream");
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
        if (context.crashHistory().isBlocked(CrashHistory.fingerprint(request))) {
            fail(ResultCode.NO_INSTANCE, 0, "earlier attempts of this request lost their instances");
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
                .withTimeouts(
                        CONNECT_TIMEOUT_MILLIS,
                        route.resumable() ? RESUMABLE_READ_TIMEOUT_MILLIS : Math.max(1, timeLeftMillis()));
        if (activeGeneration.isEmpty()) {
            registerGeneration(instance);
        }
        attemptRunning = true;
        GenerationAttempt generation = new GenerationAttempt(instance, prefillResult);
        reservation = Optional.empty();
        prefillResult = Optional.empty();
        HttpStream stream = context.client().send(instance, generationRequest, generation);
        activeRequest = Optional.of(new UpstreamWork("generation", instance, stream));
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
        attemptRunning = false;
        interruptedAtMillis = context.clock().monotonicMillis();
        unregisterGeneration();
        if (isFinished()) {
            return;
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
        NextStep step = prefillResultLost
                ? nextStepWithoutPrefillResult()
                : RetryPolicy.decide(
                        outcome,
                        route,
                        attemptsSent,
                        unreachedAttempts,
                        () -> context.retryAllowance().tryAcquire(service));
        decisionLine("attempt ended")
                .with("instance", generation.instance.identifier())
                .with("outcome", outcome.toString())
                .with("next", step.toString())
                .write();
        executeNextStep(generation, outcome, step, prefillResultLost);
    }

    private void executeNextStep(
            GenerationAttempt generation, AttemptOutcome outcome, NextStep step, boolean prefillResultLost) {
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
            case NextStep.Fail failure -> {
                if (responseStarted) {
                    abortStream(outcome.toString());
                } else {
                    fail(
                            failure.code(),
                            MemoryWaitPolicy.retryAfterMillis(
                                    0, timeLeftMillis(), context.clock().monotonicMillis()),
                            outcome.toString());
                }
            }
        }
    }

    /**
     * Decides what follows when an instance declines because the prefill result no longer exists: if the retry
     * allowance permits, the same instance is sent the request again and computes the prompt itself.
     */
    private NextStep nextStepWithoutPrefillResult() {
        return context.retryAllowance().tryAcquire(service)
                ? new NextStep.Repeat()
                : new NextStep.Fail(ResultCode.TRANSFER_FAILED);
    }

    private void abortStream(String reason) {
        if (finish()) {
            cancelUpstream();
            decisionLine("broken off").with("reason", reason).write();
            context.metrics().count("streams_broken_off");
            channel.abort();
        }
    }

    private void completeStream(GenerationAttempt generation) {
        context.crashHistory().remove(CrashHistory.fingerprint(request));
        context.pool().recordSuccess(generation.instance.identifier(), generation.millisPerEvent());
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
        byte[] incompleteEvent = events.drainIncomplete();
        if (incompleteEvent.length > 0) {
            channel.write(incompleteEvent);
        }
        channel.end();
    }

    @Override
    void cancelUpstream() {
        prefillCall.cancel();
        activeRequest.ifPresent(work -> work.request().cancel());
        activeRequest = Optional.empty();
        unregisterGeneration();
        reservation.ifPresent(this::release);
        prefillResult.ifPresent(this::release);
        queuedRequest.ifPresent(waiter -> context.memoryWaitQueues().remove(service, waiter));
    }

    @Override
    String describeUpstreamWork() {
        return prefillCall
                .activeInstance()
                .map(instance -> "prefill at " + instance.identifier())
                .or(() -> activeRequest.map(
                        work -> work.purpose() + " at " + work.instance().identifier()))
                .orElse("none");
    }

    @Override
    ResultCode timeoutCode() {
        return attemptRunning || attemptsSent > 0 ? ResultCode.DEADLINE_PASSED : ResultCode.NO_CAPACITY;
    }

    private void release(MemoryReservation unused) {
        release(
                unused.instance(),
                context.protocol().releaseReservation(unused.instance(), unused.identifier()),
                "reservation not released");
    }

    private void release(PrefillResult unused) {
        release(unused.instance(), context.protocol().releasePrefill(unused), "prompt not released");
    }

    /** Sends a release, except to an instance that wants no request now: there the lease ends by itself. */
    private void release(UpstreamInstance instance, HttpRequest releaseRequest, String failureDecision) {
        if (context.pool().notices().isDeclining(instance)) {
            decisionLine(failureDecision)
                    .with("instance", instance.identifier())
                    .with("reason", "the instance wants no request now")
                    .write();
            return;
        }
        context.client()
                .execute(
                        instance,
                        releaseRequest,
                        result -> result.peekLeft(failure -> decisionLine(failureDecision)
                                .with("instance", instance.identifier())
                                .with("reason", failure.detail())
                                .write()));
    }

    private void registerGeneration(UpstreamInstance instance) {
        activeGeneration = Optional.of(context.pool().beginGeneration(instance.identifier(), prompt));
    }

    private void unregisterGeneration() {
        activeGeneration.ifPresent(context.pool()::endGeneration);
        activeGeneration = Optional.empty();
    }

    /**
     * The upstream request in progress.
     *
     * @param purpose what it does, for log lines
     * @param instance the instance that received it
     * @param request cancels it
     */
    private record UpstreamWork(String purpose, UpstreamInstance instance, HttpStream request) {}

    /** One attempt to generate the response, at one instance. */
    private final class GenerationAttempt implements HttpListener {

        private final UpstreamInstance instance;
        private final Optional<PrefillResult> prefillUsed;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private ResponseHead head;
        private boolean streaming;
        private long firstEventElapsedMillis = -1;
        private long firstEventAtMillis;
        private int eventCount;
        private boolean failed;

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
            head = context.protocol().readHead(status, headers);
            head.load().ifPresent(load -> context.pool().recordLoad(instance.identifier(), load));
            streaming = head.success() && belongsToRequest();
            if (streaming && !responseStarted && !isFinished()) {
                responseStarted = true;
                channel.begin(status, head.forwardedHeaders());
            }
        }

        private boolean belongsToRequest() {
            return head.attempt().equals(request.attempt()) && head.signed() && !head.encoded();
        }

        @Override
        public void onBytes(byte[] bytes) {
            if (!streaming) {
                body.writeBytes(bytes);
                return;
            }
            forward(events.split(bytes));
            if (events.exceedsLimit()) {
                Optional<UpstreamWork> work = activeRequest;
                onFailure(Failure.of(
                        ResultCode.UPSTREAM_MALFORMED,
                        "an event exceeds " + EventSplitter.MAXIMUM_EVENT_BYTES + " bytes"));
                work.ifPresent(generation -> generation.request().cancel());
            }
        }

        private void forward(byte[] completeEvents) {
            if (completeEvents.length == 0 || isFinished()) {
                return;
            }
            eventCount++;
            activeGeneration.ifPresent(generation -> generation.addTokens(limits.tokensPerEvent()));
            if (firstEventElapsedMillis < 0) {
                firstEventElapsedMillis = elapsedMillis();
                firstEventAtMillis = context.clock().monotonicMillis();
                context.metrics().recordDuration("first_event_milliseconds", firstEventElapsedMillis);
            }
            channel.write(completeEvents);
        }

        @Override
        public void onEnd() {
            if (streaming) {
                completeStream(this);
                return;
            }
            onAttemptEnded(this, classifyOutcome());
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
            if (failed) {
                return;
            }
            failed = true;
            events.drainIncomplete();
            if (isFinished()) {
                return;
            }
            onAttemptEnded(this, recordFailedAttempt(instance, failure));
        }
    }
}
