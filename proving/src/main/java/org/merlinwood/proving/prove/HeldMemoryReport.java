package org.merlinwood.proving.prove;

import java.util.Set;
import java.util.stream.Collectors;
import org.merlinwood.standin.engine.EngineRun;

/**
 * Describes the runs of a failed proof of {@link HeldMemory}: when each was released, and what the logs say about those
 * that were released late or not at all. Stateless.
 */
final class HeldMemoryReport {

    private HeldMemoryReport() {}

    /** Describes all runs, with the log lines of each that was held for longer than the limit. */
    static String ofHeld(ProofContext context, Set<String> prompts, long exitAtMillis, long limitMillis) {
        return context.engineRuns(prompts).stream()
                .filter(run -> run.endedAtMillis() == 0 || run.endedAtMillis() > exitAtMillis)
                .map(run -> describe(context, run, exitAtMillis, limitMillis))
                .collect(Collectors.joining());
    }

    /** Describes the streams that have ended, with the last log lines of the entries. */
    static String ofEnded(ProofContext context, StreamSet streams) {
        String ended = streams.describeEnded().stream().map(RequestLogs::line).collect(Collectors.joining());
        String logs = context.fleet().entries().stream()
                .flatMap(entry -> entry.process().logTail().lines())
                .map(RequestLogs::line)
                .collect(Collectors.joining());
        return ended + logs;
    }

    private static String describe(ProofContext context, EngineRun run, long exitAtMillis, long limitMillis) {
        boolean isOpen = run.endedAtMillis() == 0;
        String released = isOpen ? "not released" : "released after " + (run.endedAtMillis() - exitAtMillis) + " ms";
        String summary = RequestLogs.line("%s %s, started %d ms before, %s, %s"
                .formatted(run.kind(), run.request(), exitAtMillis - run.startedAtMillis(), released, run.outcome()));
        boolean isLate = isOpen || run.endedAtMillis() - exitAtMillis > limitMillis;
        return isLate ? summary + RequestLogs.of(context, run.request()) : summary;
    }
}
