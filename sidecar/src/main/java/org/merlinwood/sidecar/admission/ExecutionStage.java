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
 * Runs what was granted, and settles it: units are freed once the upstream holds nothing for it any more.
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
    private final CrashDetector crashes;
    private final UpstreamGate gate;
    private final ControlLoop loop;
    private final MillisClock clock;
    private final MetricRegistry metrics;
    private final Map<AttemptIdentity, RunningAttempt> running = new HashMap<>();
    private final Map<RequestIdentifier, KeptResult> kept = new HashMap<>();
    private final Set<AttemptIdentity> abandoned = new HashSet<>();

    // ------------------------------------------------------------------ configuration

    /**
     * Creates a stage that runs nothing.
     *
     * @param grants the grants
     * @param keys what ran under which key
     * @param factory makes executions
     * @param engine is asked whether it has ended
     * @param reaper ends streams of the engine
     * @param suspicion hears of requests that ran when the engine ended
     * @param gate hears whether the upstream accepts connections
     * @param loop the control thread
     * @param clock tells since when results are kept
     * @param metrics counts executions
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
        this.crashes = new CrashDetector(
                loop,
                clock,
                engine,
                suspicion,
                running::size,
                grants::isOnTrial,
                this::anyRunsOnTrial,
                this::abortAll,
                (attempt, failure) -> endFailed(attempt, failure, true),
                metrics);
        this.gate = gate;
        this.loop = loop;
        this.clock = clock;
        this.metrics = metrics;
    }

    // ------------------------------------------------------------------ public API

    /**
     * Executes what a frame asks for, if its grant allows it.
     *
     * @param exchange the exchange that the grant was given on
     * @param frame the frame
     */
    public void execute(Exchange exchange, Frame frame) {
        grants.use(exchange, ExecutionFactory.useOf(frame)).peek(attempt -> begin(attempt, frame));
    }

    /**
     * Gives up an attempt that runs.
     *
     * @param attempt the attempt
     */
    public void cancel(AttemptIdentity attempt) {
        RunningAttempt execution = running.get(attempt);
        if (execution != null) {
            cancel(attempt, execution);
            return;
        }
        if (kept.remove(attempt.request()) != null) {
            reap(attempt);
        }
    }

    /**
     * Tells whether this process knows why the engine holds memory for a request.
     *
     * @param request the request
     * @return true if it runs, or its result is kept
     */
    public boolean tracks(RequestIdentifier request) {
        return kept.containsKey(request)
                || running.keySet().stream()
                        .anyMatch(attempt -> attempt.request().equals(request));
    }

    /**
     * Frees the units of results that the engine does not keep any more.
     *
     * @param held requests that the engine holds memory for
     * @param askedAtMillis monotonic time when the engine was asked, in milliseconds
     */
    public void releaseRetained(Set<String> held, long askedAtMillis) {
        List<KeptResult> gone = kept.values().stream()
                .filter(result -> result.sinceMillis() < askedAtMillis)
                .filter(result -> !held.contains(result.attempt().request().toString()))
                .toList();
        gone.forEach(result -> {
            kept.remove(result.attempt().request());
            grants.finish(result.attempt());
        });
    }

    /**
     * Lists the models that something running uses.
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
     * Returns the attempts that run, for the state dump.
     *
     * @return the attempts as text
     */
    public List<String> running() {
        return running.keySet().stream().map(AttemptIdentity::toString).toList();
    }

    // ------------------------------------------------------------------ internals: beginning

    private void begin(OpenAttempt attempt, Frame frame) {
        ServingConfiguration view = grants.view().orElseThrow();
        Runnable onProof = () -> loop.execute(() -> grants.passTrial(attempt.attempt()));
        Either<Failure, Execution> created = keyMissing(frame, attempt, view)
                .<Either<Failure, Execution>>map(Either::left)
                .orElseGet(() -> factory.create(frame, attempt, view, onProof));
        created.peek(execution -> claim(attempt, execution)).peekLeft(failure -> refuse(attempt, failure));
    }

    /** The rules that are in force here decide what may be repeated, whatever the entry thinks. */
    private static Optional<Failure> keyMissing(Frame frame, OpenAttempt attempt, ServingConfiguration view) {
        if (!frame.hasExecutePlain() || GrantMessages.isKeyed(attempt.request())) {
            return Optional.empty();
        }
        ExecutePlain call = frame.getExecutePlain();
        boolean repeatable = view.route(call.getMethod(), call.getPath())
                .filter(route -> route.repeatability() == Repeatability.IDEMPOTENT)
                .isPresent();
        if (repeatable) {
            return Optional.empty();
        }
        Revisions known = WireValues.fromWire(attempt.request().getRevisions());
        return Optional.of(
                known.isBehind(view.revisions())
                        ? Failure.retryable(
                                ResultCode.REVISION_BEHIND, "newer rules forbid to repeat this call", RETRY_MILLIS)
                        : Failure.of(ResultCode.KEY_REQUIRED, "a call that may not be repeated needs a key"));
    }

    private void claim(OpenAttempt attempt, Execution execution) {
        if (!GrantMessages.isKeyed(attempt.request())) {
            start(attempt, execution);
            return;
        }
        KeyedRequest call = GrantMessages.keyedCall(attempt.request());
        switch (keys.claim(call)) {
            case KeyDecision.Run ignored -> start(attempt, execution);
            case KeyDecision.Join ignored -> {
                keys.join(call.key(), attempt.channel());
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
        execution.start(outcome -> loop.execute(() -> ended(attempt, execution, outcome)));
    }

    // ------------------------------------------------------------------ internals: settling

    /** A connection may not tell that the engine behind it has ended. */
    private void abortAll() {
        Failure failure = Failure.of(ResultCode.UPSTREAM_TRUNCATED, "the engine has ended");
        List.copyOf(running.values()).forEach(attempt -> attempt.execution().abort(failure));
    }

    private boolean anyRunsOnTrial() {
        return running.keySet().stream().anyMatch(grants::isOnTrial);
    }

    /** A call that may not be repeated goes on, so that its outcome becomes known. */
    private void cancel(AttemptIdentity attempt, RunningAttempt execution) {
        if (!GrantMessages.isKeyed(execution.attempt().request())) {
            abandoned.add(attempt);
            execution.execution().cancel();
        }
    }

    private void ended(OpenAttempt attempt, Execution execution, ExecutionOutcome outcome) {
        running.remove(attempt.attempt());
        boolean given = abandoned.remove(attempt.attempt());
        settleKey(attempt, execution, outcome);
        switch (outcome) {
            case ExecutionOutcome.Completed ignored -> {
                gate.markReachable();
                clearSuspicion(attempt);
                grants.finish(attempt.attempt());
            }
            case ExecutionOutcome.Retained result -> keep(attempt, given);
            case ExecutionOutcome.Failed failed -> settle(attempt, failed);
        }
    }

    /** Only the last step of a request tells that none of its steps ended an engine. */
    private void clearSuspicion(OpenAttempt attempt) {
        if (attempt.isolated() && attempt.request().getKind() == WorkKind.DECODE) {
            suspicion.survived(
                    GrantMessages.fingerprint(attempt.request()),
                    attempt.attempt().request());
        }
    }

    private void settleKey(OpenAttempt attempt, Execution execution, ExecutionOutcome outcome) {
        if (!GrantMessages.isKeyed(attempt.request())) {
            return;
        }
        ScopedKey key = GrantMessages.keyedCall(attempt.request()).key();
        if (outcome instanceof ExecutionOutcome.Failed failed) {
            keys.onFailed(key, reportedFailure(attempt, failed.failure()));
        } else if (execution instanceof PlainExecution plain) {
            keys.onCompleted(key, StoredResponses.of(plain.answer()));
        }
    }

    /** The caller of a call that may not be repeated is told what it may conclude, not what broke. */
    private static Failure reportedFailure(OpenAttempt attempt, Failure failure) {
        boolean unknown = failure.executionState() != ExecutionState.NOT_RUN;
        return unknown && GrantMessages.isKeyed(attempt.request())
                ? Failure.of(ResultCode.OUTCOME_UNKNOWN, "the call may have run: " + failure.detail())
                : failure;
    }

    private void keep(OpenAttempt attempt, boolean givenUp) {
        if (givenUp) {
            reap(attempt.attempt());
            return;
        }
        grants.passTrial(attempt.attempt());
        kept.put(attempt.attempt().request(), new KeptResult(attempt.attempt(), clock.monotonicMillis()));
        grants.retainResult(attempt.attempt());
    }

    private void settle(OpenAttempt attempt, ExecutionOutcome.Failed failed) {
        Failure failure = failed.failure();
        metrics.counter("executions.failed." + failure.code().name()).inc();
        logger.atInfo().log("attempt %s failed: %s", attempt.attempt(), failure);
        if (failure.code() == ResultCode.UPSTREAM_UNREACHABLE) {
            gate.markUnreachable();
        }
        if (failed.upstreamHolds() && failure.code() == ResultCode.UPSTREAM_TRUNCATED) {
            crashes.onConnectionLost(attempt, failure);
            return;
        }
        endFailed(attempt, failure, failed.upstreamHolds());
    }

    private void endFailed(OpenAttempt attempt, Failure failure, boolean upstreamHolds) {
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

    /** An attempt whose call is open. */
    private record RunningAttempt(OpenAttempt attempt, Execution execution) {}

    /** A result that the engine keeps for a while. */
    private record KeptResult(AttemptIdentity attempt, long sinceMillis) {}
}
