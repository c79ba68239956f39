package org.merlinwood.replay.measure;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import org.merlinwood.replay.policy.PolicyName;
import org.merlinwood.replay.trace.Trace;
import org.merlinwood.replay.trace.TraceFile;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Replays all recorded traces under all policies and checks the product's policy against its bounds. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        description = "Replays the recorded traces under every policy: a JSON line for each, then the bounds.",
        exitCodeListHeading = "Exit status:%n",
        exitCodeList = {"0:every bound is met", "1:a bound is missed", "2:wrong arguments"})
public final class MeasureCommand implements Callable<Integer> {

    private static final int ALL_MET = 0;
    private static final int MISSED = 1;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Spec
    private CommandSpec specification;

    @Parameters(paramLabel = "FOLDER", description = "Folder with the traces.")
    private Path folder;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "Seed (default: ${DEFAULT-VALUE}).")
    private long seed;

    /** Creates the command. Called by picocli. */
    public MeasureCommand() {}

    /**
     * Runs the command and exits with its status.
     *
     * @param arguments command-line arguments
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new MeasureCommand()).execute(arguments));
    }

    @Override
    public Integer call() throws IOException {
        List<Bound> bounds = new ArrayList<>();
        List<Trace> traces = traces();
        for (Trace trace : traces) {
            bounds.addAll(Bounds.of(trace.header().outcomes(), measure(trace)));
        }
        for (Trace trace : traces) {
            bounds.add(KneeSweep.bound(trace, seed));
        }
        return summarize(bounds);
    }

    private List<Trace> traces() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> file.toString().endsWith(TraceFile.SUFFIX))
                    .sorted()
                    .map(TraceFile::read)
                    .toList();
        }
    }

    private List<Measurement> measure(Trace trace) throws JsonProcessingException {
        List<Measurement> measurements = Arrays.stream(PolicyName.values())
                .map(policy -> new Replay(trace, policy, seed).run())
                .toList();
        for (Measurement measurement : measurements) {
            out().println(MAPPER.writeValueAsString(measurement));
        }
        return measurements;
    }

    private int summarize(List<Bound> bounds) {
        bounds.forEach(bound -> out().println(bound));
        long met = bounds.stream().filter(Bound::isMet).count();
        long missed = bounds.size() - met;
        out().println("bounds: " + met + " met, " + missed + " missed");
        out().flush();
        return missed == 0 ? ALL_MET : MISSED;
    }

    private PrintWriter out() {
        return specification.commandLine().getOut();
    }
}
