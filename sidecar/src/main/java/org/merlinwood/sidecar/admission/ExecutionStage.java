package org.merlinwood.sidecar.admission;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.decision.grant.AttemptIdentity;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.sidecar.execution.Execution;
import org.merlinwood.sidecar.execution.ExecutionOutcome;
import org.merlinwood.sidecar.upstream.StreamReaper;
import org.merlinwood.wire.Frame;

/**
 * Runs what was granted, and settles it: units are freed once the upstream holds nothing for it any more.
 *
 * <p>Used by the control thread only.
 */
public final class ExecutionStage {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final GrantStage grants;
    private final ExecutionFactory factory;
    private final StreamReaper reaper;
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
     * @param factory makes executions
     * @param reaper ends streams of the engine
     * @param gate hears whether the upstream accepts connections
     * @param loop the control thread
     * @param clock tells since when results are kept
     * @param metrics counts executions
     */
    public ExecutionStage(
            GrantStage grants,
            ExecutionFactory factory,
            StreamReaper reaper,
            UpstreamGate gate,
            ControlLoop loop,
            MillisClock clock,
            MetricRegistry metrics) {
        this.grants = grants;
        this.factory = factory;
        this.reaper = reaper;
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
    public void abandon(AttemptIdentity attempt) {
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
    public boolean accountsFor(RequestIdentifier request) {
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
    public void releaseKept(Set<String> held, long askedAtMillis) {
        List<KeptResult> gone = kept.values().stream()
                .filter(result -> result.sinceMillis() < askedAtMillis)
                .filter(result -> !held.contains(result.attempt().request().toString()))
                .toList();
        gone.forEach(result -> {
            kept.remove(result.attempt().request());
            grants.finished(result.attempt());
        });
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
        Either<Failure, Execution> created = grants.view()
                .map(view -> factory.create(frame, attempt, view))
                .orElseGet(() -> Either.left(Failure.of(ResultCode.NOT_READY, "there are no rules")));
        created.peek(execution -> start(attempt, execution)).peekLeft(failure -> {
            attempt.channel().failed(failure);
            grants.finished(attempt.attempt());
        });
    }

    private void start(OpenAttempt attempt, Execution execution) {
        metrics.counter("executions." + attempt.request().getKind().name()).inc();
        running.put(attempt.attempt(), new RunningAttempt(attempt, execution));
        execution.start(outcome -> loop.execute(() -> ended(attempt, outcome)));
    }

    // ------------------------------------------------------------------ internals: settling

    /** A call that may not be repeated goes on, so that its outcome becomes known. */
    private void cancel(AttemptIdentity attempt, RunningAttempt execution) {
        if (!execution.attempt().request().getNonIdempotent()) {
            abandoned.add(attempt);
            execution.execution().cancel();
        }
    }

    private void ended(OpenAttempt attempt, ExecutionOutcome outcome) {
        running.remove(attempt.attempt());
        boolean given = abandoned.remove(attempt.attempt());
        switch (outcome) {
            case ExecutionOutcome.Whole ignored -> {
                gate.reachable();
                grants.finished(attempt.attempt());
            }
            case ExecutionOutcome.Kept result -> keep(attempt, given);
            case ExecutionOutcome.Failed failed -> settle(attempt, failed);
        }
    }

    private void keep(OpenAttempt attempt, boolean givenUp) {
        if (givenUp) {
            reap(attempt.attempt());
            return;
        }
        kept.put(attempt.attempt().request(), new KeptResult(attempt.attempt(), clock.monotonicMillis()));
    }

    private void settle(OpenAttempt attempt, ExecutionOutcome.Failed failed) {
        Failure failure = failed.failure();
        metrics.counter("executions.failed." + failure.code().name()).inc();
        logger.atInfo().log("attempt %s failed: %s", attempt.attempt(), failure);
        if (failure.code() == ResultCode.UPSTREAM_UNREACHABLE) {
            gate.unreachable();
        }
        attempt.channel().failed(failure);
        if (failed.upstreamHolds() && failure.executionState() != ExecutionState.NOT_RUN) {
            reap(attempt.attempt());
        } else {
            grants.finished(attempt.attempt());
        }
    }

    private void reap(AttemptIdentity attempt) {
        grants.stopping(attempt);
        reaper.reap(attempt.request().toString(), () -> grants.finished(attempt));
    }

    /** An attempt whose call is open. */
    private record RunningAttempt(OpenAttempt attempt, Execution execution) {}

    /** A result that the engine keeps for a while. */
    private record KeptResult(AttemptIdentity attempt, long sinceMillis) {}
}
