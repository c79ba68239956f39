package org.merlinwood.proving.prove;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.merlinwood.core.time.SystemMillisClock;
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

    /** Interval at which engines are asked whether they serve, in milliseconds. */
    private static final long OBSERVATION_MILLIS = 50;

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
        EngineOutages outages = new EngineOutages();
        List<String> codes = new ArrayList<>();
        for (int resend = 0; resend < RESENDS; resend++) {
            otherStreams.send(OTHER_STREAMS, OTHER_STREAM_TOKENS);
            if (!otherStreams.awaitFirstTokens()) {
                return ProofResult.fail("the other streams did not start");
            }
            RequestInProgress crashing = context.client().send(context.caller(resend), request);
            restartEnginesUntilCompleted(context, otherStreams, crashing, outages);
            CallerResponse response = CallerClient.await(crashing);
            codes.add(response.codeText());
            otherStreams.responses();
            context.fleet().repair();
        }
        return check(context, prompt, otherStreams, codes, outages);
    }

    /** Restarts exited engines, as the platform does, until all requests have completed. */
    static void restartEnginesUntilCompleted(
            ProofContext context, StreamSet otherStreams, RequestInProgress crashing, EngineOutages outages)
            throws InterruptedException {
        while (otherStreams.open() > 0 || !crashing.response().isDone()) {
            observe(context, outages);
            context.fleet()
                    .sidecars()
                    .forEach(sidecar -> sidecar.upstream().process().start());
        }
        outages.observe(context);
    }

    private static void observe(ProofContext context, EngineOutages outages) throws InterruptedException {
        long untilMillis = SystemMillisClock.shared().monotonicMillis() + RESTART_MILLIS;
        while (SystemMillisClock.shared().monotonicMillis() < untilMillis) {
            outages.observe(context);
            Thread.sleep(OBSERVATION_MILLIS);
        }
    }

    private static ProofResult check(
            ProofContext context, String prompt, StreamSet otherStreams, List<String> codes, EngineOutages outages) {
        long lost = context.engineRuns(Set.of(ExpectedResponse.promptDigest(prompt))).stream()
                .filter(run -> run.outcome() == EngineRun.Outcome.CRASHED)
                .count();
        List<String> faults = otherStreams.faults();
        String figures = RESENDS + " resends, " + lost + " engines lost, codes " + codes + "; of " + otherStreams.size()
                + " others " + faults.size() + " not whole "
                + faults.stream().limit(FAULTS_SHOWN).toList() + "; " + outages.describe();
        if (lost == 0) {
            return ProofResult.unproved(figures);
        }
        return lost <= LOST_ENGINES_ALLOWED && faults.isEmpty()
                ? ProofResult.pass(figures)
                : ProofResult.fail(figures + timeline(context, prompt) + faultyRequests(context, otherStreams));
    }

    /** Describes the runs of the crashing request, and what the logs say about crashes. */
    private static String timeline(ProofContext context, String prompt) {
        Stream<String> runs = context.engineRuns(Set.of(ExpectedResponse.promptDigest(prompt))).stream()
                .map(run -> "%s %s from %d to %d, %s"
                        .formatted(
                                run.kind(), run.request(), run.startedAtMillis(), run.endedAtMillis(), run.outcome()));
        Stream<String> crashes = context.fleet().sidecars().stream()
                .flatMap(sidecar -> sidecar.process().logLines("the engine crashed while").stream());
        return Stream.concat(runs, crashes).map(RequestLogs::line).collect(Collectors.joining());
    }

    /** Describes what the logs say about the requests whose responses are not whole. */
    static String faultyRequests(ProofContext context, StreamSet otherStreams) {
        return otherStreams.faultyRequests().stream()
                .limit(FAULTS_SHOWN)
                .map(request -> RequestLogs.line("not whole: " + request) + RequestLogs.of(context, request))
                .collect(Collectors.joining());
    }
}
