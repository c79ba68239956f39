package org.merlinwood.proving.prove;

import java.util.List;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.proving.fleet.Sidecar;
import org.merlinwood.standin.engine.EngineRun;
import org.merlinwood.standin.network.ForwardingDirection;
import org.merlinwood.standin.network.ForwardingMode;

/** Engine memory is not held for callers who are gone. Stateless. */
final class HeldMemory {

    private static final int STREAMS = 24;
    private static final int ENDLESS_TOKENS = 4_000;
    private static final double PERCENTILE = 95;
    private static final long TARGET_MILLIS = 2_000;
    private static final long NONE_AFTER_MILLIS = 5_000;
    private static final int HISTOGRAM_DIGITS = 3;

    private HeldMemory() {}

    /** Callers close their connections in mid-answer. */
    static ProofResult callerGone(Workbench bench) throws InterruptedException {
        return measure(bench, new StreamSet(bench).send(STREAMS, ENDLESS_TOKENS), StreamSet::disconnectAll);
    }

    /** The entry that all requests came through is killed. */
    static ProofResult entryKilled(Workbench bench) throws InterruptedException {
        StreamSet streams = new StreamSet(bench);
        for (int number = 0; number < STREAMS; number++) {
            streams.sendTo(0, ENDLESS_TOKENS);
        }
        return measure(bench, streams, ignored -> bench.entry(0).process().kill());
    }

    /** The connections between entries and decode sidecars go silent, then the callers go. */
    static ProofResult connectionSilent(Workbench bench) throws InterruptedException {
        return measure(bench, new StreamSet(bench).send(STREAMS, ENDLESS_TOKENS), streams -> {
            bench.fleet().sidecars(InstanceRole.DECODE).forEach(HeldMemory::silence);
            streams.disconnectAll();
        });
    }

    /** The sidecars die and come back, while their engines run on; the callers go meanwhile. */
    static ProofResult sidecarKilled(Workbench bench) throws InterruptedException {
        StreamSet streams = new StreamSet(bench).send(STREAMS, ENDLESS_TOKENS);
        if (!streams.awaitFirstTokens() || streams.open() < STREAMS) {
            return notStarted(streams);
        }
        long goneAtMillis = SystemMillisClock.shared().wallMillis();
        bench.fleet()
                .sidecars(InstanceRole.DECODE)
                .forEach(sidecar -> sidecar.process().kill());
        streams.disconnectAll();
        bench.fleet().repair();
        long downMillis = SystemMillisClock.shared().wallMillis() - goneAtMillis;
        return judge(bench, streams.promptDigests(), goneAtMillis, downMillis);
    }

    // ------------------------------------------------------------------ internals

    private interface Departure {
        void happen(StreamSet streams);
    }

    private static ProofResult measure(Workbench bench, StreamSet streams, Departure departure)
            throws InterruptedException {
        if (!streams.awaitFirstTokens() || streams.open() < STREAMS) {
            return notStarted(streams);
        }
        long goneAtMillis = SystemMillisClock.shared().wallMillis();
        departure.happen(streams);
        return judge(bench, streams.promptDigests(), goneAtMillis, 0);
    }

    /** Judges by the ledgers; time in which no sidecar was there to free anything is allowed for. */
    private static ProofResult judge(Workbench bench, Set<String> prompts, long goneAtMillis, long allowedMillis)
            throws InterruptedException {
        Workbench.await(NONE_AFTER_MILLIS, () -> bench.stillHeld(prompts) == 0);
        List<EngineRun> runs = bench.engineRuns(prompts);
        Histogram held = new Histogram(HISTOGRAM_DIGITS);
        runs.stream()
                .filter(run -> run.endedAtMillis() == 0 || run.endedAtMillis() > goneAtMillis)
                .forEach(run -> held.recordValue(heldMillis(run, goneAtMillis)));
        String figures =
                "%d runs held then, 95%% freed within %d ms, all within %d ms, %d still held, no sidecar for %d ms"
                        .formatted(
                                held.getTotalCount(),
                                held.getValueAtPercentile(PERCENTILE),
                                held.getMaxValue(),
                                stillHeld(runs),
                                allowedMillis);
        if (held.getTotalCount() < STREAMS / 2) {
            return ProofResult.unproved(figures);
        }
        boolean freed = held.getValueAtPercentile(PERCENTILE) <= TARGET_MILLIS + allowedMillis && stillHeld(runs) == 0;
        return ProofResult.of(freed, figures);
    }

    private static long heldMillis(EngineRun run, long goneAtMillis) {
        long end = run.endedAtMillis() == 0 ? SystemMillisClock.shared().wallMillis() : run.endedAtMillis();
        return end - goneAtMillis;
    }

    private static long stillHeld(List<EngineRun> runs) {
        return runs.stream().filter(run -> run.endedAtMillis() == 0).count();
    }

    private static void silence(Sidecar sidecar) {
        sidecar.peerForwarder().orElseThrow().mode(ForwardingMode.SILENT_EXISTING, ForwardingDirection.BOTH, 0);
    }

    private static ProofResult notStarted(StreamSet streams) {
        return ProofResult.fail("only " + streams.open() + " of " + streams.size() + " streams started");
    }
}
