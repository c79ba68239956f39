package org.merlinwood.gateway.front;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.upstream.PrefillResult;

/**
 * Prepares the next attempt of a stream at a service without engines: there is nothing to reserve or to compute, so the
 * attempt is sent at once or given up. Used by the event loop alone.
 */
final class PlainStreamPlacement implements StreamPlacement {

    private final StreamRequestProcessor processor;
    private final RequestProcessorContext context;
    private final GenerationRegistration registration;
    private final Set<String> triedInstances = new HashSet<>();

    /**
     * Creates a placement that has not started.
     *
     * @param processor processes the request; sends the attempt that was prepared
     * @param registration registers the attempt at its instance
     */
    PlainStreamPlacement(StreamRequestProcessor processor, GenerationRegistration registration) {
        this.processor = processor;
        this.context = processor.context;
        this.registration = registration;
    }

    @Override
    public void start() {
        Optional<UpstreamInstance> choice = chooseInstance();
        if (choice.isPresent()) {
            exclude(choice.get());
            processor.startGeneration(choice.get());
        } else {
            giveUp();
        }
    }

    /** Chooses an instance that wasn't tried; a stream that has begun may also go on where it was before. */
    private Optional<UpstreamInstance> chooseInstance() {
        Set<String> excluded = new HashSet<>(triedInstances);
        processor.silentInstance().ifPresent(excluded::add);
        Optional<UpstreamInstance> choice = choose(excluded);
        return choice.isEmpty() && processor.isContinuation()
                ? choose(processor.silentInstance().map(Set::of).orElse(Set.of()))
                : choice;
    }

    private Optional<UpstreamInstance> choose(Set<String> excluded) {
        return context.pool().choosePlain(processor.service, processor.requiredVersion(), excluded);
    }

    private void giveUp() {
        if (isVersionGone()) {
            processor.giveUpAttemptOfGoneVersion();
        } else {
            processor.giveUpAttempt(
                    ResultCode.NO_INSTANCE, processor.plainRetryAfterMillis(), "no instance left to try");
        }
    }

    private boolean isVersionGone() {
        return processor
                .requiredVersion()
                .filter(version -> context.pool().isVersionGone(processor.service, Stage.PLAIN, version))
                .isPresent();
    }

    /** Does nothing, since no prompt is computed. */
    @Override
    public void clearTriedPrefillInstances() {}

    @Override
    public void exclude(UpstreamInstance instance) {
        triedInstances.add(instance.identifier());
    }

    @Override
    public Optional<String> reservationIdentifier() {
        return Optional.empty();
    }

    @Override
    public Optional<PrefillResult> prefillResult() {
        return Optional.empty();
    }

    /** Does nothing, since no attempt has a computed prompt. */
    @Override
    public void restore(Optional<PrefillResult> unused) {}

    /** Does nothing, since nothing is held. */
    @Override
    public void handOver() {}

    @Override
    public void placeAgain(UpstreamInstance instance, String reason) {
        processor
                .decisionLine("placed again")
                .with("instance", instance.identifier())
                .with("reason", reason)
                .write();
        exclude(instance);
        processor.proceed();
    }

    @Override
    public void cancel() {
        registration.end();
    }

    @Override
    public Optional<String> describe() {
        return Optional.empty();
    }

    /** Returns the time to the first event, which compares with that of a response that isn't streamed. */
    @Override
    public long latencyMillis(GenerationAttempt attempt) {
        return attempt.millisToFirstEvent();
    }
}
