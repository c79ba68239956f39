package org.merlinwood.gateway.front;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.decision.MemoryNeed;
import org.merlinwood.gateway.decision.MemoryWaitPolicy;
import org.merlinwood.gateway.decision.MemoryWaitQueue;
import org.merlinwood.gateway.decision.WaitRanking;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.request.Prompt;
import org.merlinwood.gateway.route.EngineLimits;
import org.merlinwood.gateway.upstream.PrefillResult;

/**
 * Prepares the next attempt of a stream: chooses a decode instance, reserves memory there, and has a prefill instance
 * compute the prompt. Waits for memory if no instance has enough. Holds what is reserved until the attempt is sent.
 *
 * <p>Memory is reserved first because it is the scarce resource: a prefill result is wasted if no decode instance can
 * take it over. Used by the event loop alone; may be started again, for the next attempt of the request.
 */
final class GenerationPlacement implements StreamPlacement {

    /** Delay before excluded instances may be chosen again, in milliseconds. */
    private static final long EXCLUSION_RESET_MILLIS = 100;

    private final StreamRequestProcessor processor;
    private final RequestProcessorContext context;
    private final EngineLimits limits;
    private final GenerationRegistration registration;
    private final CapacityReleaser releaser;
    private final PrefillCall prefillCall;
    private final RankedWait rankedWait;
    private final Set<String> excludedInstances = new HashSet<>();
    private Optional<UpstreamWork> reservationCall = Optional.empty();

    /** A reservation that no attempt has used yet. */
    private Optional<MemoryReservation> reservation = Optional.empty();

    /** A computed prompt that no attempt has used yet. */
    private Optional<PrefillResult> prefillResult = Optional.empty();

    private Optional<QueuedRequest> queuedRequest = Optional.empty();

    /**
     * Creates a placement that has not started.
     *
     * @param processor processes the request; sends the attempt that was prepared
     * @param prompt the prompt
     * @param limits limits of the service
     * @param registration registers the generation that is prepared
     */
    GenerationPlacement(
            StreamRequestProcessor processor, Prompt prompt, EngineLimits limits, GenerationRegistration registration) {
        this.processor = processor;
        this.context = processor.context;
        this.limits = limits;
        this.registration = registration;
        this.releaser = new CapacityReleaser(processor);
        this.prefillCall = new PrefillCall(processor, prompt, releaser::release);
        this.rankedWait = new RankedWait(processor, limits);
    }

    /** Chooses an instance and prepares an attempt there, or waits for memory. */
    @Override
    public void start() {
        if (rankedWait.queuesBehindOthers(prefillResult.isPresent(), excludedInstances)) {
            waitForMemory();
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

    @Override
    public void clearTriedPrefillInstances() {
        prefillCall.clearTriedInstances();
    }

    /** Excludes an instance for a short time. */
    @Override
    public void exclude(UpstreamInstance instance) {
        excludedInstances.add(instance.identifier());
    }

    @Override
    public Optional<String> reservationIdentifier() {
        return reservation.map(MemoryReservation::identifier);
    }

    @Override
    public Optional<PrefillResult> prefillResult() {
        return prefillResult;
    }

    @Override
    public void restore(Optional<PrefillResult> unused) {
        prefillResult = unused;
    }

    @Override
    public void handOver() {
        reservation = Optional.empty();
        prefillResult = Optional.empty();
    }

    /** Gives up what is reserved at a decode instance and chooses another one. */
    @Override
    public void placeAgain(UpstreamInstance instance, String reason) {
        processor
                .decisionLine("placed again")
                .with("instance", instance.identifier())
                .with("reason", reason)
                .write();
        reservation.ifPresent(releaser::release);
        reservation = Optional.empty();
        registration.end();
        exclude(instance);
        processor.proceed();
    }

    @Override
    public void cancel() {
        prefillCall.cancel();
        reservationCall.ifPresent(work -> work.request().cancel());
        reservationCall = Optional.empty();
        registration.end();
        reservation.ifPresent(releaser::release);
        reservation = Optional.empty();
        prefillResult.ifPresent(releaser::release);
        prefillResult = Optional.empty();
        queuedRequest.ifPresent(waiter -> context.memoryWaitQueues().remove(processor.service, waiter));
        queuedRequest = Optional.empty();
    }

    @Override
    public Optional<String> describe() {
        return prefillCall
                .activeInstance()
                .map(instance -> "prefill at " + instance.identifier())
                .or(() -> reservationCall.map(UpstreamWork::describe));
    }

    /** Returns the time per event: how fast an instance generates doesn't depend on the length of its responses. */
    @Override
    public long latencyMillis(GenerationAttempt attempt) {
        return attempt.millisPerEvent();
    }

    private Optional<UpstreamInstance> chooseInstance() {
        Set<String> excluded = new HashSet<>(excludedInstances);
        processor.silentInstance().ifPresent(excluded::add);
        return context.pool().chooseDecode(processor.service, processor.pendingGeneration(), limits, excluded);
    }

    private void reserveMemory(UpstreamInstance instance) {
        MemoryNeed need = context.pool().memoryNeed(instance.identifier(), processor.pendingGeneration(), limits);
        registration.begin(instance);
        MemoryReservationCall call = new MemoryReservationCall(
                context,
                instance,
                need,
                limits.reservationMillis(),
                result -> onReservationResult(instance, result),
                releaser::release);
        reservationCall = Optional.of(new UpstreamWork("reservation", instance, call));
        call.start();
    }

    private void onReservationResult(UpstreamInstance instance, MemoryReservationCall.Result result) {
        reservationCall = Optional.empty();
        result.response().peekLeft(failure -> processor.pauseInstance(instance, failure));
        rankedWait
                .describe(
                        processor.decisionLine(result.reservation().isPresent() ? "memory reserved" : "no memory"),
                        prefillResult.isPresent())
                .with("instance", instance.identifier())
                .with("tokens", result.tokens())
                .with("answer", result.response().fold(Failure::detail, response -> "status " + response.status()))
                .write();
        if (result.reservation().isEmpty()) {
            onNoReservation(instance, result);
            return;
        }
        reservation = result.reservation();
        if (context.pool().notices().isLeaving(instance)) {
            placeAgain(instance, "the instance leaves");
        } else if (prefillResult.isPresent()) {
            processor.startGeneration(instance);
        } else {
            startPrefill(instance);
        }
    }

    private void onNoReservation(UpstreamInstance instance, MemoryReservationCall.Result result) {
        if (result.declined() && rankedWait.active()) {
            context.pool().memoryRoom().recordDeclined(instance.identifier(), result.tokens());
        } else if (result.declined()) {
            context.pool().recordDeclinedReservation(instance.identifier(), result.tokens());
        }
        registration.end();
        exclude(instance);
        processor.proceed();
    }

    private void startPrefill(UpstreamInstance decodeInstance) {
        prefillCall.start(decodeInstance, processor.requiredVersion(), result -> {
            prefillResult = result;
            processor.startGeneration(decodeInstance);
        });
    }

    private void waitForMemory() {
        context.loop().schedule(EXCLUSION_RESET_MILLIS, excludedInstances::clear);
        context.demandMeter().recordNoCapacity(processor.service);
        if (!applyWaitPolicy()) {
            return;
        }
        queuedRequest = Optional.of(new QueuedRequest());
        context.memoryWaitQueues().add(processor.service, queuedRequest.get());
    }

    /**
     * Returns whether the request keeps waiting for memory; if not, gives the attempt up. A replacement waits as long
     * as its request has time: the silent attempt may still go on meanwhile.
     */
    private boolean applyWaitPolicy() {
        if (processor.silentInstance().isPresent() && processor.timeLeftMillis() > 0) {
            return true;
        }
        if (isVersionGone()) {
            processor.giveUpAttemptOfGoneVersion();
            return false;
        }
        MemoryWaitPolicy.Situation situation = new MemoryWaitPolicy.Situation(
                context.clock().monotonicMillis() - processor.memoryWaitStartMillis(),
                processor.isContinuation(),
                context.pool().millisUntilCapacity(processor.service, processor.pendingGeneration(), limits),
                context.memoryWaitQueues().size(processor.service),
                context.pool().decodeInstances(processor.service, processor.requiredVersion()),
                processor.timeLeftMillis(),
                context.clock().monotonicMillis());
        MemoryWaitPolicy.Decision decision = rankedWait.decide(situation, prefillResult.isPresent());
        if (decision instanceof MemoryWaitPolicy.Decision.Refuse refuse) {
            rankedWait
                    .describe(processor.decisionLine("no room"), prefillResult.isPresent())
                    .with("situation", situation.toString())
                    .with("next", decision.toString())
                    .write();
            processor.giveUpAttempt(
                    ResultCode.NO_CAPACITY, refuse.retryAfterMillis(), "no instance has enough free memory");
            return false;
        }
        return true;
    }

    private boolean isVersionGone() {
        return processor
                .requiredVersion()
                .filter(version -> context.pool().isVersionGone(processor.service, Stage.DECODE, version))
                .isPresent();
    }

    /** The entry of this request in the queue of requests that wait for memory. */
    private final class QueuedRequest implements MemoryWaitQueue.Waiter {

        @Override
        public long arrivedMillis() {
            return processor.request.arrivedMillis();
        }

        @Override
        public long targetMillis() {
            return processor.route.targetMillis();
        }

        @Override
        public Optional<WaitRanking.Request> ranked() {
            return rankedWait.ranked(prefillResult.isPresent());
        }

        @Override
        public boolean tryNow() {
            if (processor.isFinished()) {
                return true;
            }
            boolean mayProceed = processor.isBlocked()
                    || (processor.timeLeftMillis() > 0
                            && rankedWait.mayTry(prefillResult.isPresent(), excludedInstances)
                            && chooseInstance().isPresent());
            if (mayProceed) {
                queuedRequest = Optional.empty();
                processor.proceed();
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
            processor.giveUpAttempt(ResultCode.INTERNAL, 0, "the search for memory threw " + exception);
        }
    }
}
