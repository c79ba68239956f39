package org.merlinwood.gateway.front;

import java.util.Optional;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.decision.AttemptOutcome;
import org.merlinwood.gateway.decision.NextStep;
import org.merlinwood.http.HttpStream;

/**
 * The attempts of one stream that are open at instances: the current one, and while it is silent and being replaced,
 * its replacement as well. Decides which of two goes on.
 *
 * <p>An instance that is silent may go on at any time, so its attempt stays open while a replacement is prepared, and
 * until one of the two goes on: the one that sends a complete event or an orderly end first. Used by the event loop
 * alone.
 */
final class OpenAttempts {

    /** Time without data after which a resumable stream is offered to another instance, in milliseconds. */
    private static final long SILENCE_LIMIT_MILLIS = 1_200;

    /**
     * Time after which a silent attempt ends although its replacement, which was sent, has not been accepted yet, in
     * milliseconds: two instances must not work on one stream for longer.
     */
    private static final long OVERLAP_LIMIT_MILLIS = 200;

    private final StreamRequestProcessor processor;
    private final RequestProcessorContext context;
    private final StreamResponse response;
    private final StreamRetries retries;
    private final GenerationRegistration registration;
    private final StreamPlacement placement;
    private final SilenceTimer silenceTimer;
    private final SilenceTimer overlapTimer;

    /** The request of the current attempt, until that ends or is being replaced. */
    private Optional<UpstreamWork> activeRequest = Optional.empty();

    /** The attempt that was sent last, until it ends or is replaced. */
    private Optional<GenerationAttempt> currentAttempt = Optional.empty();

    /**
     * The attempt that is being replaced. It is the current attempt as well until its replacement is sent, and stays
     * open until one of the two goes on.
     */
    private Optional<SilentAttempt> silentAttempt = Optional.empty();

    /** The replacement whose silent attempt ended before it did, the last one. */
    private Optional<GenerationAttempt> survivingReplacement = Optional.empty();

    /** Of the silent attempt and its replacement, since that was sent. */
    private OverlapState overlap = OverlapState.UNDECIDED;

    /** Monotonic time at which the last attempt ended, or its replacement was begun, in milliseconds. */
    private long interruptedAtMillis;

    private long lastReceivedMillis;

    /** Time without data after which the current attempt is offered to another instance, in milliseconds. */
    private long silenceLimitMillis = SILENCE_LIMIT_MILLIS;

    /**
     * Creates an empty set.
     *
     * @param processor processes the request
     * @param response the response of the caller
     * @param retries decides whether another attempt may be sent
     * @param registration registers the generation of the current attempt
     * @param placement prepares the next attempt
     */
    OpenAttempts(
            StreamRequestProcessor processor,
            StreamResponse response,
            StreamRetries retries,
            GenerationRegistration registration,
            StreamPlacement placement) {
        this.processor = processor;
        this.context = processor.context;
        this.response = response;
        this.retries = retries;
        this.registration = registration;
        this.placement = placement;
        this.silenceTimer = new SilenceTimer(context.loop(), this::onSilence);
        this.overlapTimer = new SilenceTimer(context.loop(), this::onOverlapLimit);
    }

    /** Makes an attempt that is about to be sent the current one. */
    void begin(GenerationAttempt attempt) {
        currentAttempt = Optional.of(attempt);
        if (silentAttempt.isPresent()) {
            overlap = OverlapState.UNDECIDED;
            overlapTimer.restart(OVERLAP_LIMIT_MILLIS);
        } else {
            restartSilence();
        }
    }

    /** Records the request of the current attempt, which has been sent. */
    void sent(GenerationAttempt attempt, HttpStream stream) {
        attempt.sent(stream);
        activeRequest = Optional.of(new UpstreamWork("generation", attempt.instance(), stream));
    }

    /** Returns whether an attempt was sent and has not ended, or is silent and kept. */
    boolean isAnyOpen() {
        return currentAttempt.isPresent();
    }

    /** Returns the instance whose silent attempt is being replaced; empty if there is none. */
    Optional<String> silentInstance() {
        return silentAttempt.map(SilentAttempt::instance);
    }

    /** Returns whether a silent attempt is being replaced. */
    boolean isReplacing() {
        return silentAttempt.isPresent();
    }

    /** Returns the monotonic time at which the last attempt ended or became silent, in milliseconds. */
    long interruptedAtMillis() {
        return interruptedAtMillis;
    }

    /** Returns the time since an instance last sent something, or since the last attempt was sent, in milliseconds. */
    long silentMillis() {
        return context.clock().monotonicMillis() - lastReceivedMillis;
    }

    /** Watches the current attempt for silence, with the usual limit. */
    private void restartSilence() {
        silenceLimitMillis = SILENCE_LIMIT_MILLIS;
        recordReceived();
    }

    /** Records that the current attempt was sent or that its instance has sent something. */
    void recordReceived() {
        if (processor.isFinished()) {
            return;
        }
        lastReceivedMillis = context.clock().monotonicMillis();
        if (processor.route.resumable() && silentAttempt.isEmpty()) {
            silenceTimer.restart(silenceLimitMillis);
        }
    }

    /**
     * Ends the silent attempt that an accepted one replaces, or drops the replacement of the accepted one unless that
     * was sent: then the first complete event decides.
     */
    void onAccepted(GenerationAttempt attempt) {
        if (isReplacementOfOpenAttempt(attempt)) {
            cancelSilentAttempt();
        } else if (isReplacementSent()) {
            overlap = OverlapState.SILENT_INSTANCE_BEGAN;
        } else {
            onSilentInstanceGoesOn();
        }
    }

    /** Records that the head of an attempt's response is not that of a success. */
    void onRefused(GenerationAttempt attempt) {
        if (isReplacementOfOpenAttempt(attempt)) {
            overlap = OverlapState.REPLACEMENT_REFUSED;
        }
    }

    /**
     * Drops the replacement because the silent instance goes on. The next one is prepared only after a longer silence:
     * an instance that pauses again and again would have the prompt computed for nothing each time.
     */
    void onSilentInstanceGoesOn() {
        if (silentAttempt.isPresent() && !processor.isFinished()) {
            silenceLimitMillis *= 2;
            dropReplacement("the silent instance goes on");
        }
    }

    /** Prepares a replacement of the current attempt if a retry is allowed; otherwise keeps waiting. */
    private void onSilence() {
        retries.markUsed();
        UpstreamWork silent = activeRequest.orElseThrow();
        Failure silence = Failure.of(ResultCode.UPSTREAM_TIMEOUT, "the instance is silent");
        processor.pauseInstance(silent.instance(), silence);
        boolean replaced = retries.decide(new AttemptOutcome.Broken(silence), 1) instanceof NextStep.Repeat;
        processor
                .decisionLine("instance silent")
                .with("instance", silent.instance().identifier())
                .with("silentMillis", silentMillis())
                .with("next", replaced ? "replace" : "wait")
                .write();
        context.metrics().count(replaced ? "silent_attempts_offered" : "silent_attempts_kept");
        if (!replaced) {
            silenceTimer.restart(silenceLimitMillis);
            return;
        }
        silentAttempt = Optional.of(new SilentAttempt(silent, registration.take(), currentAttempt.orElseThrow()));
        activeRequest = Optional.empty();
        interruptedAtMillis = context.clock().monotonicMillis();
        placement.clearTriedPrefillInstances();
        processor.proceed();
    }

    /** Gives up what was prepared or sent to replace the silent attempt, and waits for its instance again. */
    void dropReplacement(String reason) {
        SilentAttempt kept = silentAttempt.orElseThrow();
        if (isReplacementSent()) {
            retries.countSent();
            processor.recordUnknownOutcome(ResultCode.UPSTREAM_TIMEOUT);
            retries.markUsed();
        }
        retries.giveBack();
        overlapTimer.stop();
        silentAttempt = Optional.empty();
        currentAttempt = Optional.of(kept.attempt());
        cancelActiveRequest();
        activeRequest = Optional.of(kept.work());
        registration.restore(kept.generation());
        silenceTimer.restart(silenceLimitMillis);
        processor
                .decisionLine("replacement dropped")
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

    /** Returns whether an attempt has neither ended nor been replaced. */
    boolean isOpen(GenerationAttempt attempt) {
        return currentAttempt.equals(Optional.of(attempt))
                || silentAttempt.map(SilentAttempt::attempt).equals(Optional.of(attempt));
    }

    /** Returns whether an attempt was sent to replace one that is still open. */
    boolean isReplacementOfOpenAttempt(GenerationAttempt attempt) {
        return isReplacementSent() && currentAttempt.equals(Optional.of(attempt));
    }

    /** Returns whether an attempt was sent to replace one that ended before it. */
    boolean hasOutlivedSilentAttempt(GenerationAttempt attempt) {
        return survivingReplacement.equals(Optional.of(attempt));
    }

    /** Ends one of two attempts that have been open together for as long as they may be; neither has sent an event. */
    private void onOverlapLimit() {
        if (processor.isFinished()) {
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
            processor.recordUnknownOutcome(ResultCode.UPSTREAM_TIMEOUT);
            silent.work().request().cancel();
            processor
                    .decisionLine("silent attempt replaced")
                    .with("instance", silent.instance())
                    .with("silentMillis", silentMillis())
                    .write();
            restartSilence();
        });
    }

    /**
     * Records that the silent attempt ended by itself. Its replacement, which is being prepared or sent, is its retry.
     */
    private void onSilentAttemptEnded(SilentAttempt silent, AttemptOutcome outcome) {
        endSilentAttempt(silent);
        interruptedAtMillis = context.clock().monotonicMillis();
        if (outcome instanceof AttemptOutcome.Broken broken) {
            processor.recordUnknownOutcome(broken.failure().code());
        }
        processor.logEnd(silent.attempt(), outcome, "its replacement");
        if (currentAttempt.isPresent()) {
            restartSilence();
        }
    }

    private void endSilentAttempt(SilentAttempt silent) {
        overlapTimer.stop();
        currentAttempt = isReplacementSent() ? currentAttempt : Optional.empty();
        survivingReplacement = currentAttempt;
        silentAttempt = Optional.empty();
        retries.countSent();
        response.events().discardIncomplete();
        silent.generation().ifPresent(context.pool()::endGeneration);
    }

    /**
     * Records that an attempt has ended without a complete stream.
     *
     * @param attempt the attempt
     * @param outcome its outcome
     * @return whether the next step has to be decided; not if a replacement, sent or being prepared, is its retry
     */
    boolean end(GenerationAttempt attempt, AttemptOutcome outcome) {
        if (!isReplacementOfOpenAttempt(attempt)) {
            boolean answered = outcome instanceof AttemptOutcome.Answered;
            if (silentAttempt.isPresent() && !answered && !processor.isFinished()) {
                onSilentAttemptEnded(silentAttempt.get(), outcome);
                return false;
            }
            onSilentInstanceGoesOn();
        }
        activeRequest = Optional.empty();
        currentAttempt = silentAttempt.map(SilentAttempt::attempt);
        overlapTimer.stop();
        silenceTimer.stop();
        interruptedAtMillis = context.clock().monotonicMillis();
        registration.end();
        return true;
    }

    /** Stops to watch for silence, since the stream is complete. */
    void complete() {
        onSilentInstanceGoesOn();
        silenceTimer.stop();
    }

    /** Cancels all attempts and the preparation of the next one. A retry that was not sent returns to the allowance. */
    void cancel() {
        silenceTimer.stop();
        overlapTimer.stop();
        boolean attemptOpen = currentAttempt.isPresent() && (silentAttempt.isEmpty() || isReplacementSent());
        if (!attemptOpen) {
            retries.giveBack();
        }
        cancelActiveRequest();
        silentAttempt.ifPresent(silent -> {
            silent.generation().ifPresent(context.pool()::endGeneration);
            silent.work().request().cancel();
        });
    }

    /** Cancels the attempt that was sent last and the preparation of the next one, whichever is in progress. */
    private void cancelActiveRequest() {
        activeRequest.ifPresent(work -> work.request().cancel());
        activeRequest = Optional.empty();
        placement.cancel();
    }

    /** Describes what is in progress at an instance, for log lines; empty if nothing is. */
    Optional<String> describe() {
        return placement
                .describe()
                .or(() -> activeRequest.map(UpstreamWork::describe))
                .or(() -> silentAttempt.map(silent -> "silent generation at " + silent.instance()));
    }
}
