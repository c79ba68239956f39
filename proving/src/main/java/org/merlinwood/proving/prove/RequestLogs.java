package org.merlinwood.proving.prove;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.merlinwood.proving.fleet.Entry;
import org.merlinwood.proving.fleet.FleetProcess;
import org.merlinwood.proving.fleet.Sidecar;

/** Finds what entries and sidecars have logged about single requests, for the report of a failed proof. Stateless. */
final class RequestLogs {

    private RequestLogs() {}

    /** Returns the log lines that name a request, each with the name of its process, or a line that there is none. */
    static String of(ProofContext context, String request) {
        if (request.isEmpty()) {
            return line("  no response head named the request");
        }
        List<String> lines = processes(context)
                .flatMap(process -> process.logLines(request).stream().map(line -> process.name() + ": " + line))
                .toList();
        return lines.isEmpty()
                ? line("  no log line of an entry or sidecar names it")
                : lines.stream().map(line -> line("  " + line)).collect(Collectors.joining());
    }

    /** Returns a line of a report, which starts with a line break. */
    static String line(String text) {
        return "\n    " + text;
    }

    private static Stream<FleetProcess> processes(ProofContext context) {
        return Stream.concat(
                context.fleet().entries().stream().map(Entry::process),
                context.fleet().sidecars().stream().map(Sidecar::process));
    }
}
