package org.merlinwood.proving.prove;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.merlinwood.proving.caller.CallerAnswer;
import org.merlinwood.proving.caller.CallerClient;
import org.merlinwood.proving.caller.CallerRequest;
import org.merlinwood.proving.caller.RequestUnderway;
import org.merlinwood.proving.fleet.FleetDocuments;
import org.merlinwood.standin.engine.EngineRun;
import org.merlinwood.standin.engine.ExpectedResponse;

/** A request that crashes the engines that run it costs a bounded number of them. Stateless. */
final class CrashingRequest {

    private static final int RESENDS = 6;
    private static final int INNOCENTS = 10;
    private static final int INNOCENT_TOKENS = 150;
    private static final int TOKENS = 40;
    private static final int LOST_ENGINES_ALLOWED = 2;
    private static final long RESTART_MILLIS = 500;
    private static final int FAULTS_SHOWN = 4;

    private CrashingRequest() {}

    /** The request crashes the prefill engine. */
    static ProofResult atPrefill(Workbench bench) throws InterruptedException {
        return resend(bench, "[crash-engine]");
    }

    /** The request crashes the decode engine. */
    static ProofResult atDecode(Workbench bench) throws InterruptedException {
        return resend(bench, "[crash-decode]");
    }

    private static ProofResult resend(Workbench bench, String marker) throws InterruptedException {
        String prompt = "Report " + bench.random().nextLong() + " " + marker;
        CallerRequest request =
                CallerRequest.streamed(FleetDocuments.INSPECTOR_TOKEN, FleetDocuments.SUMMARY_MODEL, prompt, TOKENS);
        StreamSet innocents = new StreamSet(bench);
        List<String> codes = new ArrayList<>();
        for (int resend = 0; resend < RESENDS; resend++) {
            innocents.send(INNOCENTS, INNOCENT_TOKENS);
            if (!innocents.awaitFirstTokens()) {
                return ProofResult.fail("the other streams did not start");
            }
            RequestUnderway crashing = bench.client().send(bench.caller(resend), request);
            restartEnginesUntilAnswered(bench, innocents, crashing);
            CallerAnswer answer = CallerClient.await(crashing);
            codes.add(answer.codeText());
            innocents.answers();
            bench.fleet().repair();
        }
        return judge(bench, prompt, innocents, codes);
    }

    /** The platform starts engines again that have ended. */
    private static void restartEnginesUntilAnswered(Workbench bench, StreamSet innocents, RequestUnderway crashing)
            throws InterruptedException {
        while (innocents.open() > 0 || !crashing.answer().isDone()) {
            Thread.sleep(RESTART_MILLIS);
            bench.fleet()
                    .sidecars()
                    .forEach(sidecar -> sidecar.upstream().process().start());
        }
    }

    private static ProofResult judge(Workbench bench, String prompt, StreamSet innocents, List<String> codes) {
        long lost = bench.engineRuns(Set.of(ExpectedResponse.promptDigest(prompt))).stream()
                .filter(run -> run.outcome() == EngineRun.Outcome.CRASHED)
                .count();
        List<String> faults = innocents.faults();
        String figures = RESENDS + " resends, " + lost + " engines lost, codes " + codes + "; of " + innocents.size()
                + " others " + faults.size() + " not whole "
                + faults.stream().limit(FAULTS_SHOWN).toList();
        if (lost == 0) {
            return ProofResult.unproved(figures);
        }
        return ProofResult.of(lost <= LOST_ENGINES_ALLOWED && faults.isEmpty(), figures);
    }
}
