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
 * Compares what the engine holds with what this process runs, and ends the rest.
 *
 * <p>Before the first grant every stream is an orphan of an earlier incarnation. Later a stream is one if two lists in
 * a row show it while nothing accounts for it, since a list may be older than the end of a stream. Used by the control
 * thread only.
 */
public final class OrphanSweep {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long FIRST_PERIOD_MILLIS = 50;
    private static final long PERIOD_MILLIS = 250;

    private final ControlLoop loop;
    private final MillisClock clock;
    private final EngineClient engine;
    private final StreamReaper reaper;
    private final ExecutionStage executions;
    private final UpstreamGate gate;
    private final Counter orphans;
    private Set<String> suspects = new HashSet<>();

    /**
     * Creates a sweep that has not begun.
     *
     * @param loop the control thread
     * @param clock tells when lists were asked for
     * @param engine the engine
     * @param reaper ends streams
     * @param executions what this process runs
     * @param gate is opened once no stream of an earlier incarnation is left
     * @param metrics counts orphans
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

    /** Compares now, and again and again as long as the control thread lives. */
    @SuppressWarnings("FutureReturnValueIgnored") // completed in the callback, never exceptionally
    public void run() {
        long askedAtMillis = clock.monotonicMillis();
        engine.streams()
                .thenAccept(result -> loop.execute(() -> {
                    result.peek(streams -> compare(streams, askedAtMillis)).peekLeft(this::failed);
                    loop.schedule(gate.isCleared() ? PERIOD_MILLIS : FIRST_PERIOD_MILLIS, this::run);
                }));
    }

    // ------------------------------------------------------------------ internals

    private void compare(EngineMessages.Streams streams, long askedAtMillis) {
        gate.markReachable();
        Set<String> held = streams.streams().stream()
                .map(EngineMessages.StreamState::request)
                .collect(Collectors.toSet());
        executions.releaseRetained(held, askedAtMillis);
        List<String> unknown = held.stream()
                .filter(request -> !isAccountedFor(request) && !reaper.isPending(request))
                .toList();
        unknown.stream()
                .filter(request -> !gate.isCleared() || suspects.contains(request))
                .forEach(this::reap);
        suspects = new HashSet<>(unknown);
        if (held.isEmpty() && !gate.isCleared()) {
            gate.markCleared();
            logger.atInfo().log("the engine runs nothing of an earlier incarnation");
        }
    }

    private void reap(String request) {
        orphans.inc();
        logger.atWarning().log("the engine holds memory for request %s, which nothing here accounts for", request);
        reaper.reap(request, () -> {});
    }

    private void failed(Failure failure) {
        gate.markUnreachable();
        logger.atFine().log("the engine's streams can't be listed: %s", failure);
    }

    private boolean isAccountedFor(String request) {
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
