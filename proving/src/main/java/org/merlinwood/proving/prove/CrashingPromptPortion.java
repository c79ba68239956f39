package org.merlinwood.proving.prove;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.merlinwood.proving.caller.CallerClient;
import org.merlinwood.proving.caller.CallerRequest;
import org.merlinwood.proving.caller.RequestInProgress;
import org.merlinwood.proving.fleet.FleetDocuments;
import org.merlinwood.standin.engine.EngineRun;
import org.merlinwood.standin.engine.ExpectedResponse;
import org.merlinwood.standin.engine.PrefixBlocks;

/**
 * Proves that requests which crash engines by a portion that their prompts share, no two alike, take down only a
 * bounded number of them, and that requests which share the portion before it are answered. Stateless.
 */
final class CrashingPromptPortion {

    private static final int REQUESTS = 14;
    private static final int OTHER_STREAMS = 5;
    private static final int OTHER_STREAM_TOKENS = 100;
    private static final int TOKENS = 40;

    /** Number of crashes after which the portion must be known. */
    private static final int CRASHES_TO_LEARN = 5;

    /** Number of requests that may reach an engine later on. */
    private static final int TOLERATED_REQUESTS = 3;

    /** Time from the last of these crashes until later requests count, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    /** Size of a block of a prompt, in bytes. */
    private static final int BLOCK_BYTES = 4 * PrefixBlocks.BLOCK_TOKENS;

    private static final int FAULTS_SHOWN = 4;
    private static final String COMMON = block("Instructions for reports. ");
    private static final String CRASHING = COMMON + block("[crash-decode] ");

    private CrashingPromptPortion() {}

    /** Sends requests that share a portion, one after another through all entries, beside others. */
    static ProofResult atDecode(ProofContext context) throws InterruptedException {
        StreamSet otherStreams = new StreamSet(context, COMMON);
        Set<String> prompts = new LinkedHashSet<>();
        EngineOutages outages = new EngineOutages();
        List<String> codes = new ArrayList<>();
        for (int number = 0; number < REQUESTS; number++) {
            otherStreams.send(OTHER_STREAMS, OTHER_STREAM_TOKENS);
            if (!otherStreams.awaitFirstTokens()) {
                return ProofResult.fail("the other streams did not start");
            }
            String prompt = CRASHING + "Report " + context.random().nextLong();
            prompts.add(ExpectedResponse.promptDigest(prompt));
            CallerRequest request = CallerRequest.streamed(
                    FleetDocuments.INSPECTOR_TOKEN, FleetDocuments.SUMMARY_MODEL, prompt, TOKENS);
            RequestInProgress crashing = context.client().send(context.caller(number), request);
            CrashingRequest.restartEnginesUntilCompleted(context, otherStreams, crashing, outages);
            codes.add(CallerClient.await(crashing).codeText());
            otherStreams.responses();
            context.fleet().repair();
        }
        return check(context, context.engineRuns(prompts), otherStreams, codes, outages);
    }

    private static ProofResult check(
            ProofContext context,
            List<EngineRun> runs,
            StreamSet otherStreams,
            List<String> codes,
            EngineOutages outages) {
        List<Long> crashMillis = runs.stream()
                .filter(run -> run.outcome() == EngineRun.Outcome.CRASHED)
                .map(EngineRun::endedAtMillis)
                .sorted(Comparator.naturalOrder())
                .toList();
        long late = countLate(runs, crashMillis);
        List<String> faults = otherStreams.faults();
        String figures = REQUESTS + " requests, " + crashMillis.size() + " engines lost, " + late
                + " requests reached engines later, codes " + codes + "; of " + otherStreams.size() + " others "
                + faults.size() + " not whole "
                + faults.stream().limit(FAULTS_SHOWN).toList();
        if (crashMillis.isEmpty()) {
            return ProofResult.unproved(figures);
        }
        boolean bounded = crashMillis.size() <= CRASHES_TO_LEARN + TOLERATED_REQUESTS && late <= TOLERATED_REQUESTS;
        return bounded && faults.isEmpty()
                ? ProofResult.pass(figures)
                : ProofResult.fail(
                        figures + "; " + outages.describe() + CrashingRequest.faultyRequests(context, otherStreams));
    }

    /** Counts the runs that began when the portion had to be known. */
    private static long countLate(List<EngineRun> runs, List<Long> crashMillis) {
        if (crashMillis.size() < CRASHES_TO_LEARN) {
            return 0;
        }
        long fromMillis = crashMillis.get(CRASHES_TO_LEARN - 1) + CONTACT_MILLIS;
        return runs.stream().filter(run -> run.startedAtMillis() > fromMillis).count();
    }

    /** Returns a text of one whole block of a prompt. */
    private static String block(String text) {
        return text.repeat(BLOCK_BYTES / text.length() + 1).substring(0, BLOCK_BYTES);
    }
}
