package org.merlinwood.sidecar.admission;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.decision.grant.AttemptIdentity;
import org.merlinwood.decision.idempotency.Fingerprint;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.sidecar.suspicion.SuspicionStage;
import org.merlinwood.sidecar.upstream.EngineClient;
import org.merlinwood.sidecar.upstream.EngineMessages;

/**
 * Tells an engine that ended from a connection that broke, and reports what ran on it.
 *
 * <p>An engine counts as ended if its answers break off and it serves no connection right afterwards. The entries are
 * told only once the homes of the suspects know, so that no resend comes before. Used by the control thread only.
 */
final class CrashDetector {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long GATHER_MILLIS = 30;
    private static final int PROBES = 5;
    private static final long SAME_CRASH_MILLIS = 2_000;

    private final ControlLoop loop;
    private final MillisClock clock;
    private final EngineClient engine;
    private final SuspicionStage suspicion;
    private final IntSupplier running;
    private final Predicate<AttemptIdentity> onTrial;
    private final BooleanSupplier anyRunsOnTrial;
    private final Runnable onCrash;
    private final BiConsumer<OpenAttempt, Failure> onJudged;
    private final MetricRegistry metrics;
    private List<Lost> onConnectionLost = new ArrayList<>();
    private long lastCrashMillis = Long.MIN_VALUE / 2;
    private boolean trialCut;

    CrashDetector(
            ControlLoop loop,
            MillisClock clock,
            EngineClient engine,
            SuspicionStage suspicion,
            IntSupplier running,
            Predicate<AttemptIdentity> onTrial,
            BooleanSupplier anyRunsOnTrial,
            Runnable onCrash,
            BiConsumer<OpenAttempt, Failure> onJudged,
            MetricRegistry metrics) {
        this.loop = loop;
        this.clock = clock;
        this.engine = engine;
        this.suspicion = suspicion;
        this.running = running;
        this.onTrial = onTrial;
        this.anyRunsOnTrial = anyRunsOnTrial;
        this.onCrash = onCrash;
        this.onJudged = onJudged;
        this.metrics = metrics;
    }

    /** Judges an attempt whose answer broke off; it ends by the callback. */
    @SuppressWarnings("FutureReturnValueIgnored") // nothing cancels the probe
    void onConnectionLost(OpenAttempt attempt, Failure failure) {
        onConnectionLost.add(new Lost(attempt, failure));
        if (onConnectionLost.size() == 1) {
            loop.schedule(GATHER_MILLIS, () -> probe(PROBES));
        }
    }

    // ------------------------------------------------------------------ internals

    @SuppressWarnings("FutureReturnValueIgnored") // completed in the callback, never exceptionally
    private void probe(int probesLeft) {
        engine.streams().thenAccept(result -> loop.execute(() -> judge(result, probesLeft)));
    }

    @SuppressWarnings("FutureReturnValueIgnored") // nothing cancels the probe
    private void judge(Either<Failure, EngineMessages.Streams> result, int probesLeft) {
        boolean ended = result.isLeft() && result.getLeft().code() != ResultCode.UPSTREAM_TIMEOUT;
        boolean mayBeEnding = result.isRight() && probesLeft > 0 && !anyRuns(result.get());
        if (mayBeEnding) {
            loop.schedule(GATHER_MILLIS, () -> probe(probesLeft - 1));
            return;
        }
        List<Lost> judged = onConnectionLost;
        onConnectionLost = new ArrayList<>();
        if (ended) {
            crashed(judged);
        } else {
            judged.forEach(each -> onJudged.accept(each.attempt, each.failure));
        }
    }

    /** An engine that still runs what was lost has not ended. */
    private boolean anyRuns(EngineMessages.Streams streams) {
        return streams.streams().stream()
                .anyMatch(stream -> onConnectionLost.stream()
                        .anyMatch(each ->
                                each.attempt.attempt().request().toString().equals(stream.request())));
    }

    private void crashed(List<Lost> judged) {
        long now = clock.monotonicMillis();
        boolean first = now - lastCrashMillis >= SAME_CRASH_MILLIS;
        boolean alone = first && judged.size() == 1 && running.getAsInt() == 0;
        lastCrashMillis = now;
        boolean anyOnTrial =
                anyRunsOnTrial.getAsBoolean() || judged.stream().anyMatch(each -> onTrial.test(each.attempt.attempt()));
        trialCut = anyOnTrial || (trialCut && !first);
        metrics.counter("engine.crashes").inc(first ? 1 : 0);
        logger.atWarning().log("the engine ended while %d requests ran", judged.size() + running.getAsInt());
        judged.forEach(each -> report(each, alone));
        onCrash.run();
    }

    private void report(Lost each, boolean alone) {
        Failure failure = new Failure(
                ResultCode.UPSTREAM_CRASHED,
                "the engine ended while the request ran",
                each.failure.executionState(),
                each.failure.retryAfterMillis());
        Fingerprint fingerprint =
                Fingerprint.of(each.attempt.request().getFingerprint().toByteArray());
        if (fingerprint.isEmpty() || isOutweighed(each.attempt)) {
            onJudged.accept(each.attempt, failure);
            return;
        }
        suspicion.crashed(
                fingerprint,
                each.attempt.attempt().request(),
                alone,
                verdict -> onJudged.accept(each.attempt, failure));
    }

    /** A suspect that has passed its trial is not charged beside one that has not; it stays a suspect. */
    private boolean isOutweighed(OpenAttempt attempt) {
        return trialCut && attempt.isolated() && !onTrial.test(attempt.attempt());
    }

    private record Lost(OpenAttempt attempt, Failure failure) {}
}
