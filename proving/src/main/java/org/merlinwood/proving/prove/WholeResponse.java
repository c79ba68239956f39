package org.merlinwood.proving.prove;

import java.util.List;
import java.util.Set;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.proving.caller.CallerResponse;
import org.merlinwood.proving.fleet.Sidecar;
import org.merlinwood.standin.engine.EngineRun;
import org.merlinwood.standin.network.ForwardingDirection;
import org.merlinwood.standin.network.ForwardingMode;

/** Proves that each caller gets the complete response to its own request exactly once. Stateless. */
final class WholeResponse {

    private static final int CONCURRENT_STREAMS = 60;
    private static final int STREAMS = 20;
    private static final int SHORT_TOKENS = 60;
    private static final int TOKENS = 200;
    private static final int FAULTS_SHOWN = 4;

    private WholeResponse() {}

    /** Sends many concurrent streams while upstreams cut, truncate or corrupt some responses. */
    static ProofResult concurrent(ProofContext context) {
        StreamSet streams = new StreamSet(context);
        for (String fault : List.of("cut", "truncate", "garbage")) {
            context.fleet()
                    .sidecars(InstanceRole.DECODE)
                    .forEach(sidecar -> context.fleet()
                            .probe()
                            .command(sidecar.upstream().administration(), "/next-answer?fault=" + fault));
            streams.send(CONCURRENT_STREAMS / 3, SHORT_TOKENS);
            streams.responses();
        }
        return check(streams);
    }

    /** Kills a decode engine while it streams. */
    static ProofResult upstreamKilled(ProofContext context) throws InterruptedException {
        return afterLoss(context, sidecar -> sidecar.upstream().process().kill());
    }

    /** Cuts the connections to a decode sidecar while it streams. */
    static ProofResult connectionCut(ProofContext context) throws InterruptedException {
        return afterLoss(context, sidecar -> switchTo(sidecar, ForwardingMode.DROP));
    }

    /** Silences the connections to a decode sidecar while it streams. */
    static ProofResult connectionSilent(ProofContext context) throws InterruptedException {
        return afterLoss(context, sidecar -> switchTo(sidecar, ForwardingMode.SILENT_EXISTING));
    }

    /** Checks that no response has two terminal events and that no stream finishes at two engines. */
    static ProofResult answeredOnce(ProofContext context) throws InterruptedException {
        StreamSet streams = new StreamSet(context).send(STREAMS, TOKENS);
        if (!streams.awaitFirstTokens()) {
            return ProofResult.fail("the streams did not start");
        }
        Sidecar victim = context.choose(sidecarsWithStreams(context));
        switchTo(victim, ForwardingMode.SILENT_EXISTING);
        List<CallerResponse> responses = streams.responses();
        long duplicated = responses.stream()
                .filter(response -> response.terminalEvents() > 1)
                .count();
        long finishedTwice = streams.promptDigests().stream()
                .filter(digest -> finished(context, digest) > 1)
                .count();
        String figures =
                responses.size() + " answers, " + duplicated + " with two ends, " + finishedTwice + " finished twice";
        return ProofResult.of(duplicated == 0 && finishedTwice == 0, figures);
    }

    private interface Loss {
        void applyTo(Sidecar victim);
    }

    private static ProofResult afterLoss(ProofContext context, Loss loss) throws InterruptedException {
        StreamSet streams = new StreamSet(context).send(STREAMS, TOKENS);
        if (!streams.awaitFirstTokens()) {
            return ProofResult.fail("the streams did not start");
        }
        Sidecar victim = context.choose(sidecarsWithStreams(context));
        long hit = running(context, victim);
        loss.applyTo(victim);
        ProofResult result = check(streams);
        return hit == 0 && result.verdict() == Verdict.PASS
                ? ProofResult.unproved("no stream ran at " + victim.name())
                : new ProofResult(result.verdict(), hit + " streams hit; " + result.detail());
    }

    /**
     * Returns the decode sidecars that streams run at, or all if there are none. Entries place no new stream for a
     * while at one that was unreachable in the proof before, and its loss would show nothing.
     */
    private static List<Sidecar> sidecarsWithStreams(ProofContext context) {
        List<Sidecar> all = context.fleet().sidecars(InstanceRole.DECODE);
        List<Sidecar> inUse =
                all.stream().filter(sidecar -> running(context, sidecar) > 0).toList();
        return inUse.isEmpty() ? all : inUse;
    }

    private static long running(ProofContext context, Sidecar sidecar) {
        return context.fleet().probe().engineLedger(sidecar.upstream()).runs().stream()
                .filter(run -> run.outcome() == EngineRun.Outcome.RUNNING)
                .count();
    }

    private static ProofResult check(StreamSet streams) {
        List<String> faults = streams.faults();
        String figures = streams.size() + " streams, " + faults.size() + " not whole";
        return faults.isEmpty()
                ? ProofResult.pass(figures)
                : ProofResult.fail(
                        figures + ": " + faults.stream().limit(FAULTS_SHOWN).toList());
    }

    private static long finished(ProofContext context, String digest) {
        return context.engineRuns(Set.of(digest)).stream()
                .filter(run -> run.outcome() == EngineRun.Outcome.FINISHED)
                .count();
    }

    private static void switchTo(Sidecar sidecar, ForwardingMode mode) {
        sidecar.peerForwarder().orElseThrow().mode(mode, ForwardingDirection.BOTH, 0);
    }
}
