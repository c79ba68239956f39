package org.merlinwood.gateway.front;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.decision.ActiveGeneration;
import org.merlinwood.gateway.decision.AttemptOutcome;
import org.merlinwood.gateway.decision.CrashHistory;
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
import org.merlinwood.http.HttpResponse;
import org.merlinwood.http.HttpStream;

/**
 * The course of a streamed request: reserve memory where the answer is generated, have the prompt computed, generate.
 *
 * <p>Memory is reserved first because it is what is scarce: a computed prompt without a place to go is wasted. A stream
 * that breaks goes on at another instance behind its last whole event where its route allows that.
 */
final class StreamRequestProcessor extends RequestProcessor {

    /** Time before an instance that had no memory is asked again, in milliseconds. */
    private static final long ASK_AGAIN_MILLIS = 100;

    /** Longest silence of a reservation, in milliseconds: it needs no slot and no work. */
    private static final long HOLD_LIMIT_MILLIS = 200;

    /** Longest silence of a prefill beyond twice the expected time, in milliseconds. */
    private static final long PREFILL_SLACK_MILLIS = 300;

    /** Events of the answer whose memory is reserved with the prompt's. */
    private static final int RESERVED_EVENTS = 8;

    /** Silence after which a stream that may be resumed is taken elsewhere, in milliseconds. */
    private static final long SILENCE_LIMIT_MILLIS = 1_200;

    /** Status of an instance that is not the expected one, or has another stage by now. */
    private static final int MISDIRECTED_STATUS = 421;

    private final Prompt prompt;
    private final EngineLimits limits;
    private final EventSplitter events = new EventSplitter();
    private final Set<String> full = new HashSet<>();
    private final Set<String> triedPrefills = new HashSet<>();
    private Optional<HttpStream> call = Optional.empty();
    private Optional<ActiveGeneration> work = Optional.empty();
    private Optional<MemoryReservation> hold = Optional.empty();
    private Optional<PrefillResult> prefill = Optional.empty();
    private int sent;
    private int unreached;
    private Optional<QueuedRequest> waiting = Optional.empty();
    private boolean begun;
    private boolean running;
    private long interruptedMillis;

    /** A reservation that was not used yet. */
    private record MemoryReservation(UpstreamInstance instance, String name) {}

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
    }

    // ------------------------------------------------------------------ memory

    @Override
    void proceed() {
        Optional<UpstreamInstance> choice = context.pool().chooseDecode(service, prompt, limits, full);
        if (choice.isEmpty()) {
            waitForRoom();
        } else if (limits.reservationMillis() > 0) {
            reserve(choice.get());
        } else {
            computePrompt(choice.get());
        }
    }

    /** The forecast keeps room for the growth of answers; the reservation secures the beginning. */
    private int reservedTokens() {
        return prompt.promptTokens() + limits.tokensPerEvent() * RESERVED_EVENTS;
    }

    private void reserve(UpstreamInstance instance) {
        HttpRequest reservation = context.protocol()
                .reserve(instance, reservedTokens(), limits.reservationMillis())
                .withTimeouts(CONNECT_LIMIT_MILLIS, HOLD_LIMIT_MILLIS);
        beginWork(instance);
        call = Optional.of(context.client().execute(reservation, result -> onReservation(instance, result)));
    }

    private void onReservation(UpstreamInstance instance, Either<Failure, HttpResponse> result) {
        if (isOver()) {
            result.forEach(answer -> context.protocol()
                    .readReservation(answer)
                    .ifPresent(name -> release(new MemoryReservation(instance, name))));
            return;
        }
        call = Optional.empty();
        result.peekLeft(failure -> pause(instance, failure));
        Optional<String> name = result.fold(failure -> Optional.empty(), context.protocol()::readReservation);
        decisionLine(name.isPresent() ? "memory reserved" : "no memory")
                .with("instance", instance.identifier())
                .with("tokens", reservedTokens())
                .with("answer", result.fold(Failure::detail, answer -> "status " + answer.status()))
                .write();
        if (name.isEmpty()) {
            endWork();
            full.add(instance.identifier());
            proceed();
            return;
        }
        hold = Optional.of(new MemoryReservation(instance, name.get()));
        if (prefill.isPresent()) {
            generate(instance);
        } else {
            computePrompt(instance);
        }
    }

    private void waitForRoom() {
        context.loop().schedule(ASK_AGAIN_MILLIS, full::clear);
        context.meter().recordNoCapacity(service);
        if (!decideToWait()) {
            return;
        }
        waiting = Optional.of(new QueuedRequest());
        context.waiting().add(service, waiting.get());
    }

    /** Refuses the request if it is not to wait; false then. */
    private boolean decideToWait() {
        MemoryWaitPolicy.Situation situation = new MemoryWaitPolicy.Situation(
                context.clock().monotonicMillis() - withoutRoomSinceMillis(),
                begun,
                context.pool().millisUntilCapacity(service, prompt, limits),
                context.waiting().size(service),
                context.pool().decodeInstances(service),
                timeLeft(),
                context.clock().monotonicMillis());
        MemoryWaitPolicy.Decision verdict = MemoryWaitPolicy.decide(situation);
        if (verdict instanceof MemoryWaitPolicy.Decision.Refuse refuse) {
            decisionLine("no room")
                    .with("situation", situation.toString())
                    .with("next", verdict.toString())
                    .write();
            giveUp(refuse.retryAfterMillis());
            return false;
        }
        return true;
    }

    private long withoutRoomSinceMillis() {
        return begun ? interruptedMillis : request.arrivedMillis();
    }

    /** This request in the line of those that wait for memory. */
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
            if (isOver()) {
                return true;
            }
            Optional<UpstreamInstance> choice = context.pool().chooseDecode(service, prompt, limits, full);
            if (choice.isPresent()) {
                waiting = Optional.empty();
                proceed();
                return true;
            }
            if (!decideToWait()) {
                waiting = Optional.empty();
                return true;
            }
            return false;
        }
    }

    private void giveUp(long retryAfterMillis) {
        if (begun) {
            breakOff("no instance has room to go on");
        } else {
            fail(ResultCode.NO_CAPACITY, retryAfterMillis, "no instance has room");
        }
    }

    // ------------------------------------------------------------------ prompt

    private void computePrompt(UpstreamInstance decode) {
        Optional<UpstreamInstance> choice =
                context.pool().choosePrefill(service, decode.domain(), prompt.promptTokens(), triedPrefills);
        boolean repeated = !triedPrefills.isEmpty();
        if (choice.isEmpty() || (repeated && !context.allowance().tryAcquire(service))) {
            generate(decode);
            return;
        }
        UpstreamInstance instance = choice.get();
        triedPrefills.add(instance.identifier());
        decisionLine("prefill")
                .with("instance", instance.identifier())
                .with("for", decode.identifier())
                .write();
        long startedMillis = context.clock().monotonicMillis();
        HttpRequest prefillCall = context.protocol()
                .prefill(instance, request, Math.max(1, timeLeft()))
                .withTimeouts(CONNECT_LIMIT_MILLIS, prefillLimit(instance));
        context.pool().beginPrompt(instance.identifier(), prompt.promptTokens());
        call = Optional.of(context.client().execute(prefillCall, result -> {
            context.pool().endPrompt(instance.identifier(), prompt.promptTokens());
            onPrompt(decode, instance, context.clock().monotonicMillis() - startedMillis, result);
        }));
    }

    private long prefillLimit(UpstreamInstance instance) {
        long expected = context.pool().expectedPrefillMillis(instance.identifier(), prompt.promptTokens());
        return PREFILL_SLACK_MILLIS + 2 * expected;
    }

    private void onPrompt(
            UpstreamInstance decode, UpstreamInstance instance, long tookMillis, Either<Failure, HttpResponse> result) {
        Optional<PrefillResult> computed = result.fold(
                failure -> Optional.empty(), answer -> context.protocol().readPrefill(instance, answer));
        if (isOver()) {
            computed.ifPresent(this::release);
            return;
        }
        call = Optional.empty();
        result.peekLeft(failure -> pause(instance, failure));
        decisionLine(computed.isPresent() ? "prompt computed" : "prefill failed")
                .with("instance", instance.identifier())
                .with("tookMillis", tookMillis)
                .with("answer", result.fold(Failure::detail, answer -> "status " + answer.status()))
                .write();
        prefill = computed;
        if (computed.isEmpty()) {
            computePrompt(decode);
            return;
        }
        context.pool().recordPrefill(instance.identifier(), prompt.promptTokens(), tookMillis);
        context.metrics().recordDuration("prefill_milliseconds", tookMillis);
        generate(decode);
    }

    // ------------------------------------------------------------------ answer

    private void generate(UpstreamInstance instance) {
        if (context.crashes().isBlocked(CrashHistory.fingerprint(request))) {
            fail(ResultCode.NO_INSTANCE, 0, "earlier runs of this request lost their instances");
            return;
        }
        AttemptTerms terms = new AttemptTerms(
                timeForUpstream(),
                hold.map(MemoryReservation::name),
                prefill,
                begun ? events.lastEvent().isPresent() ? events.lastEvent() : OptionalLong.of(0) : request.lastEvent());
        decisionLine("send")
                .with("instance", instance.identifier())
                .with("attemptsBefore", sent)
                .with(
                        "prefill",
                        prefill.map(result -> result.instance().identifier()).orElse("none"))
                .with("behindEvent", terms.lastEvent().orElse(-1))
                .write();
        HttpRequest run = context.protocol()
                .run(instance, request, terms)
                .withTimeouts(CONNECT_LIMIT_MILLIS, route.resumable() ? SILENCE_LIMIT_MILLIS : Math.max(1, timeLeft()));
        if (work.isEmpty()) {
            beginWork(instance);
        }
        running = true;
        GenerationAttempt generation = new GenerationAttempt(instance, prefill);
        hold = Optional.empty();
        prefill = Optional.empty();
        call = Optional.of(context.client().send(run, generation));
    }

    private void settle(GenerationAttempt generation, AttemptOutcome outcome) {
        call = Optional.empty();
        running = false;
        interruptedMillis = context.clock().monotonicMillis();
        endWork();
        if (isOver()) {
            return;
        }
        boolean handleLost = outcome instanceof AttemptOutcome.Declined && generation.source.isPresent();
        if (outcome instanceof AttemptOutcome.Unreached) {
            unreached++;
            prefill = generation.source;
            full.add(generation.instance.identifier());
        } else if (!handleLost) {
            sent++;
        }
        if (outcome instanceof AttemptOutcome.Broken broken) {
            recordUnknownOutcome(broken.failure().code());
        }
        NextStep step = handleLost
                ? afterLostPrompt()
                : RetryPolicy.decide(
                        outcome,
                        route,
                        sent,
                        unreached,
                        () -> context.allowance().tryAcquire(service));
        decisionLine("attempt ended")
                .with("instance", generation.instance.identifier())
                .with("outcome", outcome.toString())
                .with("next", step.toString())
                .write();
        follow(generation, outcome, step, handleLost);
    }

    private void follow(GenerationAttempt generation, AttemptOutcome outcome, NextStep step, boolean handleLost) {
        switch (step) {
            case NextStep.Deliver deliver ->
                deliver(
                        generation.head.status(),
                        generation.head.forwardedHeaders(),
                        generation.body.toByteArray(),
                        generation.instance);
            case NextStep.Repeat repeat -> {
                if (handleLost) {
                    generate(generation.instance);
                } else {
                    triedPrefills.clear();
                    proceed();
                }
            }
            case NextStep.Fail failure -> {
                if (begun) {
                    breakOff(outcome.toString());
                } else {
                    fail(
                            failure.code(),
                            MemoryWaitPolicy.retryAfterMillis(
                                    0, timeLeft(), context.clock().monotonicMillis()),
                            outcome.toString());
                }
            }
        }
    }

    /** The instance declined since the computed prompt was gone: it may compute the prompt by itself. */
    private NextStep afterLostPrompt() {
        return context.allowance().tryAcquire(service)
                ? new NextStep.Repeat()
                : new NextStep.Fail(ResultCode.TRANSFER_FAILED);
    }

    private void breakOff(String reason) {
        if (finish()) {
            cancelUpstream();
            decisionLine("broken off").with("reason", reason).write();
            context.metrics().count("streams_broken_off");
            channel.abort();
        }
    }

    private void complete(GenerationAttempt generation) {
        context.crashes().remove(CrashHistory.fingerprint(request));
        context.pool().recordSuccess(generation.instance.identifier(), generation.millisPerEvent());
        if (!finish()) {
            return;
        }
        int generatedTokens = work.map(ActiveGeneration::generatedTokens).orElse(0);
        endWork();
        decisionLine("answered")
                .with("status", generation.head.status())
                .with("instance", generation.instance.identifier())
                .with("events", generation.eventsSeen)
                .with("generatedTokens", generatedTokens)
                .with("lengthHint", prompt.lengthHint().orElse(-1))
                .with("longestTokens", prompt.outputTokens())
                .with("firstEventMillis", generation.firstEventMillis)
                .write();
        context.metrics().ended(route.kind(), generation.head.status(), elapsed());
        byte[] rest = events.rest();
        if (rest.length > 0) {
            channel.write(rest);
        }
        channel.end();
    }

    // ------------------------------------------------------------------ ends

    @Override
    void cancelUpstream() {
        call.ifPresent(HttpStream::cancel);
        call = Optional.empty();
        endWork();
        hold.ifPresent(this::release);
        prefill.ifPresent(this::release);
        waiting.ifPresent(waiter -> context.waiting().remove(service, waiter));
    }

    @Override
    ResultCode timeoutCode() {
        return running || sent > 0 ? ResultCode.DEADLINE_PASSED : ResultCode.NO_CAPACITY;
    }

    private void release(MemoryReservation unused) {
        context.client()
                .execute(
                        context.protocol().releaseReservation(unused.instance(), unused.name()),
                        result -> result.peekLeft(failure -> decisionLine("reservation not released")
                                .with("reason", failure.detail())
                                .write()));
    }

    private void release(PrefillResult unused) {
        context.client()
                .execute(
                        context.protocol().releasePrefill(unused),
                        result -> result.peekLeft(failure -> decisionLine("prompt not released")
                                .with("reason", failure.detail())
                                .write()));
    }

    private void pause(UpstreamInstance instance, Failure failure) {
        if (failure.code() == ResultCode.CANCELLED) {
            return;
        }
        long pause = context.pool().recordFailure(instance.identifier());
        decisionLine("instance paused")
                .with("instance", instance.identifier())
                .with("pauseMillis", pause)
                .with("reason", failure.detail())
                .write();
    }

    private void beginWork(UpstreamInstance instance) {
        work = Optional.of(context.pool().beginGeneration(instance.identifier(), prompt));
    }

    private void endWork() {
        work.ifPresent(context.pool()::endGeneration);
        work = Optional.empty();
    }

    /** One run at one instance. */
    private final class GenerationAttempt implements HttpListener {

        private final UpstreamInstance instance;
        private final Optional<PrefillResult> source;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private ResponseHead head;
        private boolean streaming;
        private long firstEventMillis = -1;
        private long firstEventAt;
        private int eventsSeen;

        private GenerationAttempt(UpstreamInstance instance, Optional<PrefillResult> source) {
            this.instance = instance;
            this.source = source;
        }

        /** Time between events, as a measure of the instance's speed; at least 1. */
        private long millisPerEvent() {
            long took = context.clock().monotonicMillis() - firstEventAt;
            return Math.max(1, took / Math.max(1, eventsSeen));
        }

        @Override
        public void onHead(int status, List<HttpHeader> headers) {
            head = context.protocol().readHead(status, headers);
            head.load().ifPresent(load -> context.pool().recordLoad(instance.identifier(), load));
            streaming = head.success() && ours();
            if (streaming && !begun && !isOver()) {
                begun = true;
                channel.begin(status, head.forwardedHeaders());
            }
        }

        private boolean ours() {
            return head.attempt().equals(request.attempt()) && head.signed() && !head.encoded();
        }

        @Override
        public void onBytes(byte[] bytes) {
            if (!streaming) {
                body.writeBytes(bytes);
                return;
            }
            byte[] whole = events.take(bytes);
            if (whole.length == 0 || isOver()) {
                return;
            }
            eventsSeen++;
            work.ifPresent(answer -> answer.addTokens(limits.tokensPerEvent()));
            if (firstEventMillis < 0) {
                firstEventMillis = elapsed();
                firstEventAt = context.clock().monotonicMillis();
                context.metrics().recordDuration("first_event_milliseconds", firstEventMillis);
            }
            channel.write(whole);
        }

        @Override
        public void onEnd() {
            if (streaming) {
                complete(this);
                return;
            }
            settle(this, judge());
        }

        private AttemptOutcome judge() {
            if (head.notRun()) {
                if (head.status() == MISDIRECTED_STATUS) {
                    context.pool().recordFailure(instance.identifier());
                }
                return new AttemptOutcome.Declined(head.status());
            }
            if (!ours() || begun) {
                context.pool().recordErrorResponse(instance.identifier());
                return new AttemptOutcome.Broken(
                        Failure.of(ResultCode.UPSTREAM_MALFORMED, "the answer is not one to this request"));
            }
            context.pool().recordErrorResponse(instance.identifier());
            return new AttemptOutcome.Answered(head.status());
        }

        @Override
        public void onFailure(Failure failure) {
            events.rest();
            if (isOver()) {
                return;
            }
            pause(instance, failure);
            boolean notRun = failure.executionState() == ExecutionState.NOT_RUN;
            if (!notRun && failure.code() != ResultCode.UPSTREAM_TIMEOUT) {
                context.crashes().recordLoss(CrashHistory.fingerprint(request), instance.identifier());
            }
            settle(this, notRun ? new AttemptOutcome.Unreached(failure) : new AttemptOutcome.Broken(failure));
        }
    }
}
