package org.merlinwood.sidecar.admission;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.sidecar.upstream.EngineClient;
import org.merlinwood.sidecar.upstream.EngineMessages;
import org.merlinwood.sidecar.upstream.StreamReaper;

/**
 * Periodically compares the streams of the engine with the attempts of this process, and ends orphaned streams.
 *
 * <p>Before the first grant, every stream is an orphan of an earlier incarnation. After that, a stream counts as
 * orphaned only if two consecutive listings contain it while this process does not track it, because a listing may
 * predate the end of a stream. Used by the control thread only.
 */
public final class OrphanSweep {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long STARTUP_PERIOD_MILLIS = 50;
    private static final long PERIOD_MILLIS = 250;

    private final ControlLoop loop;
    private final MillisClock clock;
    private final EngineClient engine;
    private final StreamReaper reaper;
    private final ExecutionStage executions;
    private final UpstreamGate gate;
    private final Counter orphans;
    private Set<String> previouslyUnknown = new HashSet<>();

    /**
     * Creates a sweep that has not been started.
     *
     * @param loop the control loop
     * @param clock provides the time at which a listing was requested
     * @param engine lists the streams of the engine
     * @param reaper ends streams
     * @param executions the attempts of this process
     * @param gate marked as cleared once no stream of an earlier incarnation is left
     * @param metrics registry for the orphan counter
     */
    public OrphanSweep(
            ControlLoop loop,
            MillisClock clock,
            EngineClient engine,
            StreamReaper reaper,
            ExecutionStage executions,
            UpstreamGate gate,
            MetricRegistry metrics) {
        this.loop = loop;
        this.clock = clock;
        this.engine = engine;
        this.reaper = reaper;
        this.executions = executions;
        this.gate = gate;
        this.orphans = metrics.counter("engine.orphan_streams");
    }

    /** Compares once and schedules the next comparison. Repeats until the control loop is closed. */
    @SuppressWarnings("FutureReturnValueIgnored") // completed in the callback, never exceptionally
    public void run() {
        long requestedAtMillis = clock.monotonicMillis();
        engine.streams()
                .thenAccept(result -> loop.execute(() -> {
                    result.peek(streams -> compare(streams, requestedAtMillis)).peekLeft(this::onListingFailed);
                    loop.schedule(gate.isCleared() ? PERIOD_MILLIS : STARTUP_PERIOD_MILLIS, this::run);
                }));
    }

    private void compare(EngineMessages.Streams streams, long requestedAtMillis) {
        gate.markReachable();
        Set<String> listed = streams.streams().stream()
                .map(EngineMessages.StreamState::request)
                .collect(Collectors.toSet());
        executions.releaseRetained(listed, requestedAtMillis);
        List<String> untracked = listed.stream()
                .filter(request -> !isTracked(request) && !reaper.isPending(request))
                .toList();
        untracked.stream()
                .filter(request -> !gate.isCleared() || previouslyUnknown.contains(request))
                .forEach(this::reap);
        previouslyUnknown = new HashSet<>(untracked);
        if (listed.isEmpty() && !gate.isCleared()) {
            gate.markCleared();
            logger.atInfo().log("the engine holds no streams of an earlier incarnation");
        }
    }

    private void reap(String request) {
        orphans.inc();
        logger.atWarning().log("ending orphaned stream of request %s: no attempt of this process uses it", request);
        reaper.reap(request, () -> {});
    }

    private void onListingFailed(Failure failure) {
        gate.markUnreachable();
        logger.atFine().log("failed to list the streams of the engine: %s", failure);
    }

    private boolean isTracked(String request) {
        return parse(request).map(executions::tracks).orElse(false);
    }

    private static Optional<RequestIdentifier> parse(String text) {
        if (!text.matches("[0-9a-f]{32}")) {
            return Optional.empty();
        }
        long high = Long.parseUnsignedLong(text.substring(0, 16), 16);
        long low = Long.parseUnsignedLong(text.substring(16), 16);
        return Optional.of(new RequestIdentifier(high, low));
    }
}
