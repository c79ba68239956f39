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

/** Proves that engine memory is released once its caller has disconnected. Stateless. */
final class HeldMemory {

    private static final int STREAMS = 24;
    private static final int ENDLESS_TOKENS = 4_000;
    private static final double PERCENTILE = 95;
    private static final long TARGET_MILLIS = 2_000;
    private static final long RELEASE_MILLIS = 5_000;
    private static final int HISTOGRAM_DIGITS = 3;

    private HeldMemory() {}

    /** Closes the callers' connections while responses are streamed. */
    static ProofResult callerGone(ProofContext context) throws InterruptedException {
        return measure(context, new StreamSet(context).send(STREAMS, ENDLESS_TOKENS), StreamSet::disconnectAll);
    }

    /** Kills the entry that received all requests. */
    static ProofResult entryKilled(ProofContext context) throws InterruptedException {
        StreamSet streams = new StreamSet(context);
        for (int number = 0; number < STREAMS; number++) {
            streams.sendTo(0, ENDLESS_TOKENS);
        }
        return measure(context, streams, ignored -> context.entry(0).process().kill());
    }

    /** Silences the connections between entries and decode sidecars, then disconnects the callers. */
    static ProofResult connectionSilent(ProofContext context) throws InterruptedException {
        return measure(context, new StreamSet(context).send(STREAMS, ENDLESS_TOKENS), streams -> {
            context.fleet().sidecars(InstanceRole.DECODE).forEach(HeldMemory::silence);
            streams.disconnectAll();
        });
    }

    /** Restarts the sidecars while their engines keep running; the callers disconnect in the meantime. */
    static ProofResult sidecarKilled(ProofContext context) throws InterruptedException {
        StreamSet streams = new StreamSet(context).send(STREAMS, ENDLESS_TOKENS);
        if (!streams.awaitFirstTokens() || streams.open() < STREAMS) {
            return notStarted(streams);
        }
        long exitAtMillis = SystemMillisClock.shared().wallMillis();
        context.fleet()
                .sidecars(InstanceRole.DECODE)
                .forEach(sidecar -> sidecar.process().kill());
        streams.disconnectAll();
        context.fleet().repair();
        long downMillis = SystemMillisClock.shared().wallMillis() - exitAtMillis;
        return check(context, streams.promptDigests(), exitAtMillis, downMillis);
    }

    private interface CallerExit {
        void trigger(StreamSet streams);
    }

    private static ProofResult measure(ProofContext context, StreamSet streams, CallerExit callerExit)
            throws InterruptedException {
        if (!streams.awaitFirstTokens() || streams.open() < STREAMS) {
            return notStarted(streams);
        }
        long exitAtMillis = SystemMillisClock.shared().wallMillis();
        callerExit.trigger(streams);
        return check(context, streams.promptDigests(), exitAtMillis, 0);
    }

    /** Checks the ledgers. The time without a running sidecar, which could release memory, is added to the target. */
    private static ProofResult check(ProofContext context, Set<String> prompts, long exitAtMillis, long allowedMillis)
            throws InterruptedException {
        ProofContext.await(RELEASE_MILLIS, () -> context.stillHeld(prompts) == 0);
        List<EngineRun> runs = context.engineRuns(prompts);
        Histogram held = new Histogram(HISTOGRAM_DIGITS);
        runs.stream()
                .filter(run -> run.endedAtMillis() == 0 || run.endedAtMillis() > exitAtMillis)
                .forEach(run -> held.recordValue(heldMillis(run, exitAtMillis)));
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

    private static long heldMillis(EngineRun run, long exitAtMillis) {
        long end = run.endedAtMillis() == 0 ? SystemMillisClock.shared().wallMillis() : run.endedAtMillis();
        return end - exitAtMillis;
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
