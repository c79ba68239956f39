package org.merlinwood.proving.prove;

import java.util.List;
import java.util.Set;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.proving.caller.CallerAnswer;
import org.merlinwood.proving.fleet.Sidecar;
import org.merlinwood.standin.engine.EngineRun;
import org.merlinwood.standin.network.ForwardingDirection;
import org.merlinwood.standin.network.ForwardingMode;

/** Each caller gets the whole answer to its own request, once. Stateless. */
final class WholeAnswer {

    private static final int CONCURRENT_STREAMS = 60;
    private static final int STREAMS = 20;
    private static final int SHORT_TOKENS = 60;
    private static final int TOKENS = 200;
    private static final int FAULTS_SHOWN = 4;

    private WholeAnswer() {}

    /** Many streams at once, some of whose upstream answers are cut, truncated or garbage. */
    static ProofResult concurrent(Workbench bench) {
        StreamSet streams = new StreamSet(bench);
        for (String fault : List.of("cut", "truncate", "garbage")) {
            bench.fleet()
                    .sidecars(InstanceRole.DECODE)
                    .forEach(sidecar -> bench.fleet()
                            .probe()
                            .command(sidecar.upstream().administration(), "/next-answer?fault=" + fault));
            streams.send(CONCURRENT_STREAMS / 3, SHORT_TOKENS);
            streams.answers();
        }
        return judge(streams);
    }

    /** A decode engine is killed in mid-stream. */
    static ProofResult upstreamKilled(Workbench bench) throws InterruptedException {
        return afterLoss(bench, sidecar -> sidecar.upstream().process().kill());
    }

    /** The connections to a decode sidecar are cut in mid-stream. */
    static ProofResult connectionCut(Workbench bench) throws InterruptedException {
        return afterLoss(bench, sidecar -> switchTo(sidecar, ForwardingMode.DROP));
    }

    /** The connections to a decode sidecar go silent in mid-stream. */
    static ProofResult connectionSilent(Workbench bench) throws InterruptedException {
        return afterLoss(bench, sidecar -> switchTo(sidecar, ForwardingMode.SILENT_EXISTING));
    }

    /** No answer has two ends, and no stream that moved runs on at its former engine. */
    static ProofResult answeredOnce(Workbench bench) throws InterruptedException {
        StreamSet streams = new StreamSet(bench).send(STREAMS, TOKENS);
        if (!streams.awaitFirstTokens()) {
            return ProofResult.fail("the streams did not start");
        }
        Sidecar victim = bench.choose(bench.fleet().sidecars(InstanceRole.DECODE));
        switchTo(victim, ForwardingMode.SILENT_EXISTING);
        List<CallerAnswer> answers = streams.answers();
        long doubled =
                answers.stream().filter(answer -> answer.terminalEvents() > 1).count();
        long finishedTwice = streams.promptDigests().stream()
                .filter(digest -> finished(bench, digest) > 1)
                .count();
        String figures =
                answers.size() + " answers, " + doubled + " with two ends, " + finishedTwice + " finished twice";
        return ProofResult.of(doubled == 0 && finishedTwice == 0, figures);
    }

    // ------------------------------------------------------------------ internals

    private interface Loss {
        void happenTo(Sidecar victim);
    }

    private static ProofResult afterLoss(Workbench bench, Loss loss) throws InterruptedException {
        StreamSet streams = new StreamSet(bench).send(STREAMS, TOKENS);
        if (!streams.awaitFirstTokens()) {
            return ProofResult.fail("the streams did not start");
        }
        Sidecar victim = bench.choose(bench.fleet().sidecars(InstanceRole.DECODE));
        long hit = bench.fleet().probe().engineLedger(victim.upstream()).runs().stream()
                .filter(run -> run.outcome() == EngineRun.Outcome.RUNNING)
                .count();
        loss.happenTo(victim);
        ProofResult result = judge(streams);
        return hit == 0 && result.verdict() == Verdict.PASS
                ? ProofResult.unproved("no stream ran at " + victim.name())
                : new ProofResult(result.verdict(), hit + " streams hit; " + result.detail());
    }

    private static ProofResult judge(StreamSet streams) {
        List<String> faults = streams.faults();
        String figures = streams.size() + " streams, " + faults.size() + " not whole";
        return faults.isEmpty()
                ? ProofResult.pass(figures)
                : ProofResult.fail(
                        figures + ": " + faults.stream().limit(FAULTS_SHOWN).toList());
    }

    private static long finished(Workbench bench, String digest) {
        return bench.engineRuns(Set.of(digest)).stream()
                .filter(run -> run.outcome() == EngineRun.Outcome.FINISHED)
                .count();
    }

    private static void switchTo(Sidecar sidecar, ForwardingMode mode) {
        sidecar.peerForwarder().orElseThrow().mode(mode, ForwardingDirection.BOTH, 0);
    }
}
