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

    /** Time after which every entry has noticed that a caller is gone. */
    private static final long NOTICED_MILLIS = 1_000;

    /** Time within which an entry resumes a stream whose connection to a sidecar has fallen silent. */
    private static final long RESUMPTION_MILLIS = 2_500;

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
        if (!streams.awaitAllRunning()) {
            return notStarted(context, streams);
        }
        long exitAtMillis = SystemMillisClock.shared().wallMillis();
        context.fleet()
                .sidecars(InstanceRole.DECODE)
                .forEach(sidecar -> sidecar.process().kill());
        streams.disconnectAll();
        context.fleet().repair();
        long downMillis = SystemMillisClock.shared().wallMillis() - exitAtMillis;
        return check(context, streams, exitAtMillis, downMillis);
    }

    private interface CallerExit {
        void trigger(StreamSet streams);
    }

    private static ProofResult measure(ProofContext context, StreamSet streams, CallerExit callerExit)
            throws InterruptedException {
        if (!streams.awaitAllRunning()) {
            return notStarted(context, streams);
        }
        long exitAtMillis = SystemMillisClock.shared().wallMillis();
        callerExit.trigger(streams);
        return check(context, streams, exitAtMillis, 0);
    }

    /**
     * Checks the ledgers. The time without a running sidecar, which could release memory, is added to the target. Work
     * that an entry begins for callers who are gone shows only later than the silence of a connection, so the ledgers
     * are read after that.
     */
    private static ProofResult check(ProofContext context, StreamSet streams, long exitAtMillis, long allowedMillis)
            throws InterruptedException {
        Set<String> prompts = streams.promptDigests();
        Thread.sleep(RESUMPTION_MILLIS);
        ProofContext.await(RELEASE_MILLIS - RESUMPTION_MILLIS, () -> context.stillHeld(prompts) == 0);
        ProofResult result = judge(context.engineRuns(prompts), exitAtMillis, allowedMillis);
        String detail = result.detail() + ", %d requests sent again at the start".formatted(streams.sentAgain());
        return result.verdict() == Verdict.FAIL
                ? ProofResult.fail(
                        detail + HeldMemoryReport.ofHeld(context, prompts, exitAtMillis, TARGET_MILLIS + allowedMillis))
                : new ProofResult(result.verdict(), detail);
    }

    /**
     * Judges the runs of all streams.
     *
     * @param runs the runs, from the ledgers of the engines
     * @param exitAtMillis wall time at which the callers disconnected, in milliseconds
     * @param allowedMillis time added to the target, in milliseconds
     */
    static ProofResult judge(List<EngineRun> runs, long exitAtMillis, long allowedMillis) {
        Histogram held = new Histogram(HISTOGRAM_DIGITS);
        runs.stream()
                .filter(run -> run.endedAtMillis() == 0 || run.endedAtMillis() > exitAtMillis)
                .forEach(run -> held.recordValue(heldMillis(run, exitAtMillis)));
        long stillHeld = stillHeld(runs);
        long begunLater = begunLater(runs, exitAtMillis);
        String figures = "%d runs held then, 95%% freed within %d ms, all within %d ms, %d still held, %d begun later, "
                        .formatted(
                                held.getTotalCount(),
                                held.getValueAtPercentile(PERCENTILE),
                                held.getMaxValue(),
                                stillHeld,
                                begunLater)
                + "no sidecar for " + allowedMillis + " ms";
        if (held.getTotalCount() < STREAMS / 2) {
            return ProofResult.unproved(figures);
        }
        boolean isInTime = held.getValueAtPercentile(PERCENTILE) <= TARGET_MILLIS + allowedMillis;
        return ProofResult.of(isInTime && stillHeld == 0 && begunLater == 0, figures);
    }

    /** Counts the runs that began when the entries must have noticed that the callers are gone. */
    private static long begunLater(List<EngineRun> runs, long exitAtMillis) {
        return runs.stream()
                .filter(run -> run.startedAtMillis() > exitAtMillis + NOTICED_MILLIS)
                .count();
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

    /** Ends the streams that did start, so that they take no memory from the next proof. */
    private static ProofResult notStarted(ProofContext context, StreamSet streams) throws InterruptedException {
        String seen = "only " + streams.open() + " of " + streams.size() + " streams started"
                + HeldMemoryReport.ofEnded(context, streams);
        streams.disconnectAll();
        ProofContext.await(RELEASE_MILLIS, () -> context.stillHeld(streams.promptDigests()) == 0);
        return ProofResult.fail(seen);
    }
}
