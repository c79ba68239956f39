package org.merlinwood.proving.prove;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.merlinwood.proving.caller.CallerClient;
import org.merlinwood.proving.caller.CallerRequest;
import org.merlinwood.proving.caller.CallerResponse;
import org.merlinwood.proving.caller.RequestInProgress;
import org.merlinwood.proving.fleet.FleetDocuments;
import org.merlinwood.standin.engine.EngineRun;
import org.merlinwood.standin.engine.ExpectedResponse;

/** Proves that a request that crashes engines takes down only a bounded number of them. Stateless. */
final class CrashingRequest {

    private static final int RESENDS = 6;
    private static final int OTHER_STREAMS = 10;
    private static final int OTHER_STREAM_TOKENS = 150;
    private static final int TOKENS = 40;
    private static final int LOST_ENGINES_ALLOWED = 2;
    private static final long RESTART_MILLIS = 500;
    private static final int FAULTS_SHOWN = 4;

    private CrashingRequest() {}

    /** Sends a request that crashes the prefill engine. */
    static ProofResult atPrefill(ProofContext context) throws InterruptedException {
        return resend(context, "[crash-engine]");
    }

    /** Sends a request that crashes the decode engine. */
    static ProofResult atDecode(ProofContext context) throws InterruptedException {
        return resend(context, "[crash-decode]");
    }

    private static ProofResult resend(ProofContext context, String marker) throws InterruptedException {
        String prompt = "Report " + context.random().nextLong() + " " + marker;
        CallerRequest request =
                CallerRequest.streamed(FleetDocuments.INSPECTOR_TOKEN, FleetDocuments.SUMMARY_MODEL, prompt, TOKENS);
        StreamSet otherStreams = new StreamSet(context);
        List<String> codes = new ArrayList<>();
        for (int resend = 0; resend < RESENDS; resend++) {
            otherStreams.send(OTHER_STREAMS, OTHER_STREAM_TOKENS);
            if (!otherStreams.awaitFirstTokens()) {
                return ProofResult.fail("the other streams did not start");
            }
            RequestInProgress crashing = context.client().send(context.caller(resend), request);
            restartEnginesUntilCompleted(context, otherStreams, crashing);
            CallerResponse response = CallerClient.await(crashing);
            codes.add(response.codeText());
            otherStreams.responses();
            context.fleet().repair();
        }
        return check(context, prompt, otherStreams, codes);
    }

    /** Restarts exited engines, as the platform does, until all requests have completed. */
    static void restartEnginesUntilCompleted(ProofContext context, StreamSet otherStreams, RequestInProgress crashing)
            throws InterruptedException {
        while (otherStreams.open() > 0 || !crashing.response().isDone()) {
            Thread.sleep(RESTART_MILLIS);
            context.fleet()
                    .sidecars()
                    .forEach(sidecar -> sidecar.upstream().process().start());
        }
    }

    private static ProofResult check(ProofContext context, String prompt, StreamSet otherStreams, List<String> codes) {
        long lost = context.engineRuns(Set.of(ExpectedResponse.promptDigest(prompt))).stream()
                .filter(run -> run.outcome() == EngineRun.Outcome.CRASHED)
                .count();
        List<String> faults = otherStreams.faults();
        String figures = RESENDS + " resends, " + lost + " engines lost, codes " + codes + "; of " + otherStreams.size()
                + " others " + faults.size() + " not whole "
                + faults.stream().limit(FAULTS_SHOWN).toList();
        if (lost == 0) {
            return ProofResult.unproved(figures);
        }
        return lost <= LOST_ENGINES_ALLOWED && faults.isEmpty()
                ? ProofResult.pass(figures)
                : ProofResult.fail(figures + timeline(context, prompt));
    }

    /** Describes the runs of the crashing request, and what the logs say about crashes and failed requests. */
    private static String timeline(ProofContext context, String prompt) {
        Stream<String> runs = context.engineRuns(Set.of(ExpectedResponse.promptDigest(prompt))).stream()
                .map(run -> "%s %s from %d to %d, %s"
                        .formatted(
                                run.kind(), run.request(), run.startedAtMillis(), run.endedAtMillis(), run.outcome()));
        Stream<String> crashes = context.fleet().sidecars().stream()
                .flatMap(sidecar -> sidecar.process().logLines("the engine crashed while").stream());
        Stream<String> failed =
                context.fleet().entries().stream().flatMap(entry -> entry.process().logLines(": UPSTREAM_").stream());
        return Stream.of(runs, crashes, failed)
                .flatMap(lines -> lines)
                .map(line -> "\n    " + line)
                .collect(Collectors.joining());
    }
}
