package org.merlinwood.proving.prove;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.merlinwood.proving.fleet.Entry;
import org.merlinwood.proving.fleet.FleetProcess;
import org.merlinwood.proving.fleet.Sidecar;
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
        String ended =
                streams.describeEnded().stream().map(HeldMemoryReport::line).collect(Collectors.joining());
        String logs = context.fleet().entries().stream()
                .flatMap(entry -> entry.process().logTail().lines())
                .map(HeldMemoryReport::line)
                .collect(Collectors.joining());
        return ended + logs;
    }

    private static String describe(ProofContext context, EngineRun run, long exitAtMillis, long limitMillis) {
        boolean isOpen = run.endedAtMillis() == 0;
        String released = isOpen ? "not released" : "released after " + (run.endedAtMillis() - exitAtMillis) + " ms";
        String summary = line("%s %s, started %d ms before, %s, %s"
                .formatted(run.kind(), run.request(), exitAtMillis - run.startedAtMillis(), released, run.outcome()));
        boolean isLate = isOpen || run.endedAtMillis() - exitAtMillis > limitMillis;
        return isLate ? summary + logLines(context, run.request()) : summary;
    }

    private static String logLines(ProofContext context, String request) {
        List<String> lines = processes(context)
                .flatMap(process -> process.logLines(request).stream().map(line -> process.name() + ": " + line))
                .toList();
        return lines.isEmpty()
                ? line("  no log line of an entry or sidecar names it")
                : lines.stream().map(line -> line("  " + line)).collect(Collectors.joining());
    }

    private static Stream<FleetProcess> processes(ProofContext context) {
        return Stream.concat(
                context.fleet().entries().stream().map(Entry::process),
                context.fleet().sidecars().stream().map(Sidecar::process));
    }

    private static String line(String text) {
        return "\n    " + text;
    }
}
