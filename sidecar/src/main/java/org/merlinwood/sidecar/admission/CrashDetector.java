package org.merlinwood.sidecar.admission;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.decision.grant.AttemptIdentity;
import org.merlinwood.decision.idempotency.Fingerprint;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.sidecar.suspicion.SuspicionStage;
import org.merlinwood.sidecar.upstream.EngineClient;
import org.merlinwood.sidecar.upstream.EngineMessages;
import org.merlinwood.wire.GrantRequest;
import org.merlinwood.wire.WorkKind;

/**
 * Distinguishes an engine crash from a lost connection, and reports the requests that ran during a crash.
 *
 * <p>The engine counts as crashed if a response is cut off and a probe right afterwards fails for another reason than a
 * timeout. While the engine answers but lists none of the lost streams it may be shutting down, and the probe is
 * repeated. The failure is sent to the entry only after the homes of the fingerprint have recorded the crash or timed
 * out, so that they know it before a retry arrives. Used by the control thread only.
 */
final class CrashDetector {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long PROBE_DELAY_MILLIS = 30;
    private static final int PROBE_RETRIES = 5;
    private static final long SAME_CRASH_MILLIS = 2_000;

    private final ControlLoop loop;
    private final MillisClock clock;
    private final EngineClient engine;
    private final SuspicionStage suspicion;
    private final Supplier<Set<AttemptIdentity>> running;
    private final Predicate<AttemptIdentity> isOnTrial;
    private final BooleanSupplier anyRunsOnTrial;
    private final Runnable onCrash;
    private final BiConsumer<OpenAttempt, Failure> onClassified;
    private final MetricRegistry metrics;
    private List<LostAttempt> onConnectionLost = new ArrayList<>();
    private Set<AttemptIdentity> ranInLastCrash = Set.of();
    private int crashNumber;
    private long lastCrashMillis = Long.MIN_VALUE / 2;
    private boolean trialInterrupted;

    CrashDetector(
            ControlLoop loop,
            MillisClock clock,
            EngineClient engine,
            SuspicionStage suspicion,
            Supplier<Set<AttemptIdentity>> running,
            Predicate<AttemptIdentity> isOnTrial,
            BooleanSupplier anyRunsOnTrial,
            Runnable onCrash,
            BiConsumer<OpenAttempt, Failure> onClassified,
            MetricRegistry metrics) {
        this.loop = loop;
        this.clock = clock;
        this.engine = engine;
        this.suspicion = suspicion;
        this.running = running;
        this.isOnTrial = isOnTrial;
        this.anyRunsOnTrial = anyRunsOnTrial;
        this.onCrash = onCrash;
        this.onClassified = onClassified;
        this.metrics = metrics;
    }

    /** Handles an attempt whose response was cut off. The attempt ends later, through {@code onClassified}. */
    @SuppressWarnings("FutureReturnValueIgnored") // nothing cancels the probe
    void onConnectionLost(OpenAttempt attempt, boolean begun, Failure failure) {
        onConnectionLost.add(new LostAttempt(attempt, begun, failure));
        if (onConnectionLost.size() == 1) {
            loop.schedule(PROBE_DELAY_MILLIS, () -> probe(PROBE_RETRIES));
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // completed in the callback, never exceptionally
    private void probe(int probesLeft) {
        engine.streams().thenAccept(result -> loop.execute(() -> classify(result, probesLeft)));
    }

    @SuppressWarnings("FutureReturnValueIgnored") // nothing cancels the probe
    private void classify(Either<Failure, EngineMessages.Streams> result, int probesLeft) {
        boolean crashed = result.isLeft() && result.getLeft().code() != ResultCode.UPSTREAM_TIMEOUT;
        boolean mayBeEnding = result.isRight() && probesLeft > 0 && !anyStillRunning(result.get());
        if (mayBeEnding) {
            loop.schedule(PROBE_DELAY_MILLIS, () -> probe(probesLeft - 1));
            return;
        }
        List<LostAttempt> lost = onConnectionLost;
        onConnectionLost = new ArrayList<>();
        if (crashed) {
            onEngineCrashed(lost);
        } else {
            lost.forEach(each -> onClassified.accept(each.attempt, each.failure));
        }
    }

    /** An engine that still lists the stream of a lost attempt has not crashed. */
    private boolean anyStillRunning(EngineMessages.Streams streams) {
        return streams.streams().stream()
                .anyMatch(stream -> onConnectionLost.stream()
                        .anyMatch(each ->
                                each.attempt.attempt().request().toString().equals(stream.request())));
    }

    private void onEngineCrashed(List<LostAttempt> lost) {
        long now = clock.monotonicMillis();
        boolean first = now - lastCrashMillis >= SAME_CRASH_MILLIS;
        boolean alone = first && lost.size() == 1 && running.get().isEmpty();
        lastCrashMillis = now;
        boolean anyOnTrial =
                anyRunsOnTrial.getAsBoolean() || lost.stream().anyMatch(each -> isOnTrial.test(each.attempt.attempt()));
        trialInterrupted = anyOnTrial || (trialInterrupted && !first);
        metrics.counter("engine.crashes").inc(first ? 1 : 0);
        logger.atWarning().log(
                "the engine crashed while %d requests ran",
                lost.size() + running.get().size());
        countCrash(lost);
        lost.forEach(each -> reportPrefixes(each, () -> reportCrash(each, alone)));
        onCrash.run();
    }

    /** Attempts that ran when the engine crashed may end later and belong to that crash. */
    private void countCrash(List<LostAttempt> lost) {
        Set<AttemptIdentity> ended = new HashSet<>();
        lost.forEach(each -> ended.add(each.attempt.attempt()));
        if (!ranInLastCrash.containsAll(ended)) {
            crashNumber++;
            ended.addAll(running.get());
            ranInLastCrash = ended;
        }
    }

    /**
     * Only a request that has got no token is suspected for its prompt, as a crash strikes before the first one. A
     * resumed response has got some at another engine.
     */
    private void reportPrefixes(LostAttempt each, Runnable onRecorded) {
        GrantRequest request = each.attempt.request();
        if (each.begun || request.getKind() != WorkKind.DECODE) {
            onRecorded.run();
            return;
        }
        suspicion
                .prefixes()
                .reportCrash(
                        crashNumber, GrantMessages.prefixes(request), GrantMessages.fingerprint(request), onRecorded);
    }

    private void reportCrash(LostAttempt each, boolean alone) {
        Failure failure = new Failure(
                ResultCode.UPSTREAM_CRASHED,
                "the engine crashed while the request ran",
                each.failure.executionState(),
                each.failure.retryAfterMillis());
        Fingerprint fingerprint =
                Fingerprint.of(each.attempt.request().getFingerprint().toByteArray());
        if (fingerprint.isEmpty() || isExemptFromReport(each.attempt)) {
            onClassified.accept(each.attempt, failure);
            return;
        }
        suspicion.reportCrash(
                fingerprint,
                each.attempt.attempt().request(),
                alone,
                decision -> onClassified.accept(each.attempt, failure));
    }

    /**
     * A suspect that has passed its trial is not reported if the crash also interrupted a suspect on trial. It stays a
     * suspect.
     */
    private boolean isExemptFromReport(OpenAttempt attempt) {
        return trialInterrupted && attempt.isolated() && !isOnTrial.test(attempt.attempt());
    }

    private record LostAttempt(OpenAttempt attempt, boolean begun, Failure failure) {}
}
