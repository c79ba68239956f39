package org.merlinwood.replay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import org.merlinwood.replay.measure.Replay;
import org.merlinwood.replay.policy.PolicyName;
import org.merlinwood.replay.trace.Trace;
import org.merlinwood.replay.trace.TraceFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The subcommand {@code replay} of the operators' command line. */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        description = "Replays a recorded trace in virtual time and prints a JSON line for each policy.",
        exitCodeListHeading = "Exit status:%n",
        exitCodeList = {"0:the trace was replayed", "2:wrong arguments, or the file is not a trace"})
public final class ReplayCommand implements Callable<Integer> {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Spec
    private CommandSpec specification;

    @Parameters(paramLabel = "TRACE", description = "File of JSON lines; the first line states the fleet.")
    private Path trace;

    @Option(
            names = "--policy",
            paramLabel = "POLICY",
            split = ",",
            description = "merlinwood, round-robin, least-loaded or prefill-first; all by default.")
    private List<String> policies =
            Arrays.stream(PolicyName.values()).map(PolicyName::label).toList();

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "Seed (default: ${DEFAULT-VALUE}).")
    private long seed;

    /** Creates the command. Called by picocli. */
    public ReplayCommand() {}

    @Override
    public Integer call() throws JsonProcessingException {
        Trace recorded = read();
        for (String label : policies) {
            Replay replay = new Replay(recorded, policy(label), seed);
            specification.commandLine().getOut().println(MAPPER.writeValueAsString(replay.run()));
        }
        specification.commandLine().getOut().flush();
        return 0;
    }

    private Trace read() {
        try {
            return TraceFile.read(trace);
        } catch (UncheckedIOException exception) {
            throw new ParameterException(specification.commandLine(), exception.getMessage(), exception);
        }
    }

    private PolicyName policy(String label) {
        try {
            return PolicyName.of(label);
        } catch (IllegalArgumentException exception) {
            throw new ParameterException(specification.commandLine(), exception.getMessage(), exception);
        }
    }
}
