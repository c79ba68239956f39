package org.merlinwood.sidecar.admission;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.merlinwood.configuration.rules.Repeatability;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.decision.grant.AttemptIdentity;
import org.merlinwood.decision.idempotency.KeyDecision;
import org.merlinwood.decision.idempotency.KeyedRequest;
import org.merlinwood.decision.idempotency.ScopedKey;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.WireValues;
import org.merlinwood.sidecar.execution.Execution;
import org.merlinwood.sidecar.execution.ExecutionOutcome;
import org.merlinwood.sidecar.execution.PlainExecution;
import org.merlinwood.sidecar.key.KeyStage;
import org.merlinwood.sidecar.key.StoredResponses;
import org.merlinwood.sidecar.suspicion.SuspicionStage;
import org.merlinwood.sidecar.upstream.EngineClient;
import org.merlinwood.sidecar.upstream.StreamReaper;
import org.merlinwood.wire.ExecutePlain;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.WorkKind;

/**
 * Runs granted attempts, and releases their units once the upstream no longer holds memory for them.
 *
 * <p>Used by the control thread only.
 */
public final class ExecutionStage {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private static final long RETRY_MILLIS = 100;

    private final GrantStage grants;
    private final KeyStage keys;
    private final ExecutionFactory factory;
    private final StreamReaper reaper;
    private final SuspicionStage suspicion;
    private final CrashDetector crashDetector;
    private final UpstreamGate gate;
    private final ControlLoop loop;
    private final MillisClock clock;
    private final MetricRegistry metrics;
    private final Map<AttemptIdentity, RunningAttempt> running = new HashMap<>();
    private final Map<RequestIdentifier, RetainedResult> retained = new HashMap<>();
    private final Set<AttemptIdentity> cancelled = new HashSet<>();

    /**
     * Creates a stage without any running attempts.
     *
     * @param grants issues and releases grants
     * @param keys records the outcomes of requests with idempotency keys
     * @param factory creates executions
     * @param engine probed to detect a crash
     * @param reaper ends streams of the engine
     * @param suspicion receives reports of requests that ran during a crash
     * @param gate records whether the upstream is reachable
     * @param loop the control loop
     * @param clock provides the time since which a result is retained
     * @param metrics registry for the execution counters
     */
    public ExecutionStage(
            GrantStage grants,
            KeyStage keys,
            ExecutionFactory factory,
            EngineClient engine,
            StreamReaper reaper,
            SuspicionStage suspicion,
            UpstreamGate gate,
            ControlLoop loop,
            MillisClock clock,
            MetricRegistry metrics) {
        this.grants = grants;
        this.keys = keys;
        this.factory = factory;
        this.reaper = reaper;
        this.suspicion = suspicion;
        this.crashDetector = new CrashDetector(
                loop,
                clock,
                engine,
                suspicion,
                running::keySet,
                grants::isOnTrial,
                this::anyRunsOnTrial,
                this::abortAll,
                (attempt, failure) -> finishFailed(attempt, failure, true),
                metrics);
        this.gate = gate;
        this.loop = loop;
        this.clock = clock;
        this.metrics = metrics;
    }

    /**
     * Starts the execution that a frame describes, if its grant is valid.
     *
     * @param exchange the exchange that received the grant
     * @param frame the execute frame
     */
    public void execute(Exchange exchange, Frame frame) {
        grants.use(exchange, ExecutionFactory.grantUse(frame)).peek(attempt -> prepare(attempt, frame));
    }

    /**
     * Cancels a running attempt, or discards the retained result of a completed prefill. A running request with an
     * idempotency key continues. Ignored if the attempt is unknown.
     *
     * @param attempt the attempt
     */
    public void cancel(AttemptIdentity attempt) {
        RunningAttempt execution = running.get(attempt);
        if (execution != null) {
            cancel(attempt, execution);
            return;
        }
        if (retained.remove(attempt.request()) != null) {
            reap(attempt);
        }
    }

    /**
     * Tells whether this process tracks a request for which the engine holds memory.
     *
     * @param request the request
     * @return true if an attempt of the request runs, or its result is retained
     */
    public boolean tracks(RequestIdentifier request) {
        return retained.containsKey(request)
                || running.keySet().stream()
                        .anyMatch(attempt -> attempt.request().equals(request));
    }

    /**
     * Releases the grants of results that the engine no longer retains.
     *
     * @param listed identifiers of the requests that the engine holds memory for
     * @param requestedAtMillis monotonic time at which the listing was requested, in milliseconds
     */
    public void releaseRetained(Set<String> listed, long requestedAtMillis) {
        List<RetainedResult> gone = retained.values().stream()
                .filter(result -> result.sinceMillis() < requestedAtMillis)
                .filter(result -> !listed.contains(result.attempt().request().toString()))
                .toList();
        gone.forEach(result -> {
            retained.remove(result.attempt().request());
            grants.finish(result.attempt());
        });
    }

    /**
     * Returns the models that running attempts use.
     *
     * @return names of models
     */
    public Set<ModelName> modelsInUse() {
        return running.values().stream()
                .map(execution -> execution.attempt().request().getModel())
                .filter(model -> !model.isBlank())
                .map(ModelName::new)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns the running attempts, for the state dump.
     *
     * @return the attempts as text
     */
    public List<String> running() {
        return running.keySet().stream().map(AttemptIdentity::toString).toList();
    }

    private void prepare(OpenAttempt attempt, Frame frame) {
        ServingConfiguration configuration = grants.configuration().orElseThrow();
        Runnable onFirstToken = () -> loop.execute(() -> clearPrefixes(attempt));
        Runnable onTrialPassed = () -> loop.execute(() -> grants.passTrial(attempt.attempt()));
        Either<Failure, Execution> created = missingKeyFailure(frame, attempt, configuration)
                .<Either<Failure, Execution>>map(Either::left)
                .orElseGet(() -> factory.create(frame, attempt, configuration, onFirstToken, onTrialPassed));
        created.peek(execution -> claimKey(attempt, execution)).peekLeft(failure -> refuse(attempt, failure));
    }

    /**
     * The rules of this process decide which requests may be retried, regardless of the rules that the entry applied.
     */
    private static Optional<Failure> missingKeyFailure(
            Frame frame, OpenAttempt attempt, ServingConfiguration configuration) {
        if (!frame.hasExecutePlain() || GrantMessages.isKeyed(attempt.request())) {
            return Optional.empty();
        }
        ExecutePlain execute = frame.getExecutePlain();
        boolean repeatable = configuration
                .route(execute.getMethod(), execute.getPath())
                .filter(route -> route.repeatability() == Repeatability.IDEMPOTENT)
                .isPresent();
        if (repeatable) {
            return Optional.empty();
        }
        Revisions known = WireValues.fromWire(attempt.request().getRevisions());
        return Optional.of(
                known.isBehind(configuration.revisions())
                        ? Failure.retryable(
                                ResultCode.REVISION_BEHIND,
                                "newer rules require an idempotency key for this request",
                                RETRY_MILLIS)
                        : Failure.of(ResultCode.KEY_REQUIRED, "a non-idempotent request requires an idempotency key"));
    }

    private void claimKey(OpenAttempt attempt, Execution execution) {
        if (!GrantMessages.isKeyed(attempt.request())) {
            start(attempt, execution);
            return;
        }
        KeyedRequest request = GrantMessages.keyedRequest(attempt.request());
        switch (keys.claim(request)) {
            case KeyDecision.Run ignored -> start(attempt, execution);
            case KeyDecision.Join ignored -> {
                keys.join(request.key(), attempt.channel());
                grants.finish(attempt.attempt());
            }
            case KeyDecision.Replay replay -> {
                metrics.counter("keys.replayed").inc();
                StoredResponses.replay(attempt.channel(), replay.response());
                grants.finish(attempt.attempt());
            }
            case KeyDecision.Refuse refuse -> refuse(attempt, refuse.failure());
        }
    }

    private void refuse(OpenAttempt attempt, Failure failure) {
        attempt.channel().refuse(failure);
        grants.finish(attempt.attempt());
    }

    private void start(OpenAttempt attempt, Execution execution) {
        metrics.counter("executions." + attempt.request().getKind().name()).inc();
        running.put(attempt.attempt(), new RunningAttempt(attempt, execution));
        execution.start(outcome -> loop.execute(() -> onEnded(attempt, execution, outcome)));
    }

    /** Aborts all executions after an engine crash, because a connection may not notice that the engine has ended. */
    private void abortAll() {
        Failure failure = Failure.of(ResultCode.UPSTREAM_TRUNCATED, "the engine crashed");
        List.copyOf(running.values()).forEach(attempt -> attempt.execution().abort(failure));
    }

    private boolean anyRunsOnTrial() {
        return running.keySet().stream().anyMatch(grants::isOnTrial);
    }

    /** A request with an idempotency key is not cancelled, so that its outcome becomes known. */
    private void cancel(AttemptIdentity attempt, RunningAttempt execution) {
        if (!GrantMessages.isKeyed(execution.attempt().request())) {
            cancelled.add(attempt);
            execution.execution().cancel();
        }
    }

    private void onEnded(OpenAttempt attempt, Execution execution, ExecutionOutcome outcome) {
        running.remove(attempt.attempt());
        boolean wasCancelled = cancelled.remove(attempt.attempt());
        completeKey(attempt, execution, outcome);
        switch (outcome) {
            case ExecutionOutcome.Completed ignored -> {
                gate.markReachable();
                clearSuspicion(attempt);
                grants.finish(attempt.attempt());
            }
            case ExecutionOutcome.Retained result -> retain(attempt, wasCancelled);
            case ExecutionOutcome.Failed failed -> onFailed(attempt, execution, failed);
        }
    }

    private void clearPrefixes(OpenAttempt attempt) {
        if (attempt.watched()) {
            suspicion.prefixes().reportFirstToken(GrantMessages.prefixes(attempt.request()));
        }
    }

    /** Only a completed decode, the last step of a request, shows that no step of the request crashes engines. */
    private void clearSuspicion(OpenAttempt attempt) {
        if (attempt.isolated() && attempt.request().getKind() == WorkKind.DECODE) {
            suspicion.reportSurvival(
                    GrantMessages.fingerprint(attempt.request()),
                    attempt.attempt().request());
        }
    }

    private void completeKey(OpenAttempt attempt, Execution execution, ExecutionOutcome outcome) {
        if (!GrantMessages.isKeyed(attempt.request())) {
            return;
        }
        ScopedKey key = GrantMessages.keyedRequest(attempt.request()).key();
        if (outcome instanceof ExecutionOutcome.Failed failed) {
            keys.onFailed(key, reportedFailure(attempt, failed.failure()));
        } else if (execution instanceof PlainExecution plain) {
            keys.onCompleted(key, StoredResponses.of(plain.response()));
        }
    }

    /** For a request with an idempotency key, reports whether it may have run instead of what failed. */
    private static Failure reportedFailure(OpenAttempt attempt, Failure failure) {
        boolean unknown = failure.executionState() != ExecutionState.NOT_RUN;
        return unknown && GrantMessages.isKeyed(attempt.request())
                ? Failure.of(ResultCode.OUTCOME_UNKNOWN, "the request may have run: " + failure.detail())
                : failure;
    }

    private void retain(OpenAttempt attempt, boolean wasCancelled) {
        if (wasCancelled) {
            reap(attempt.attempt());
            return;
        }
        grants.passTrial(attempt.attempt());
        retained.put(attempt.attempt().request(), new RetainedResult(attempt.attempt(), clock.monotonicMillis()));
        grants.retainResult(attempt.attempt());
    }

    private void onFailed(OpenAttempt attempt, Execution execution, ExecutionOutcome.Failed failed) {
        Failure failure = failed.failure();
        metrics.counter("executions.failed." + failure.code().name()).inc();
        logger.atInfo().log("attempt %s failed: %s", attempt.attempt(), failure);
        if (failure.code() == ResultCode.UPSTREAM_UNREACHABLE) {
            gate.markUnreachable();
        }
        if (failed.upstreamHoldsMemory() && failure.code() == ResultCode.UPSTREAM_TRUNCATED) {
            crashDetector.onConnectionLost(attempt, execution.hasBegun(), failure);
            return;
        }
        finishFailed(attempt, failure, failed.upstreamHoldsMemory());
    }

    private void finishFailed(OpenAttempt attempt, Failure failure, boolean upstreamHolds) {
        attempt.channel().fail(reportedFailure(attempt, failure));
        if (upstreamHolds && failure.executionState() != ExecutionState.NOT_RUN) {
            reap(attempt.attempt());
        } else {
            grants.finish(attempt.attempt());
        }
    }

    private void reap(AttemptIdentity attempt) {
        grants.markStopping(attempt);
        reaper.reap(attempt.request().toString(), () -> grants.finish(attempt));
    }

    /** An attempt whose request to the upstream has not ended. */
    private record RunningAttempt(OpenAttempt attempt, Execution execution) {}

    /** The result of a completed prefill that the engine retains for a limited time. */
    private record RetainedResult(AttemptIdentity attempt, long sinceMillis) {}
}
