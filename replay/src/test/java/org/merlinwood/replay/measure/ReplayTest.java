package org.merlinwood.replay.measure;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.merlinwood.replay.ReplayCommand;
import org.merlinwood.replay.policy.PolicyName;
import org.merlinwood.replay.trace.DemandedOutcomes;
import org.merlinwood.replay.trace.Trace;
import org.merlinwood.replay.trace.TraceGenerator;
import picocli.CommandLine;

/** Tests replays, their bounds and the {@code replay} command. */
final class ReplayTest {

    private static final long SEED = 1;
    private static final int INVALID_ARGUMENTS = 2;

    static List<Trace> traces() {
        return TraceGenerator.all();
    }

    static Stream<Arguments> replays() {
        return TraceGenerator.all().stream()
                .flatMap(trace -> Arrays.stream(PolicyName.values()).map(policy -> Arguments.of(trace, policy)));
    }

    @ParameterizedTest
    @MethodSource("replays")
    void sameSeedGivesSameMeasurement(Trace trace, PolicyName policy) {
        Measurement first = new Replay(trace, policy, SEED).run();
        assertThat(new Replay(trace, policy, SEED).run()).isEqualTo(first);
        assertThat(first.goodput()).isBetween(0.0, 1.0);
        assertThat(first.wastedPrefill()).isBetween(0.0, 1.0);
    }

    @ParameterizedTest
    @MethodSource("traces")
    void meetsAllBoundsOfTheTrace(Trace trace) {
        List<Measurement> measurements = Arrays.stream(PolicyName.values())
                .map(policy -> new Replay(trace, policy, SEED).run())
                .toList();
        assertThat(Bounds.of(trace.header().outcomes(), measurements)).allMatch(Bound::isMet);
    }

    @ParameterizedTest
    @CsvSource({"0.5,0.01,3,0", "0.49,0.01,3,1", "0.5,0.021,3,1", "0.6,0.03,1,2"})
    void countsMissedBounds(double goodput, double waste, int prefillFirstWasteTenths, int missed) {
        List<Measurement> measurements = List.of(
                measurement(PolicyName.MERLINWOOD, goodput, waste),
                measurement(PolicyName.ROUND_ROBIN, 0.5, 0.1),
                measurement(PolicyName.LEAST_LOADED, 0.3, 0.1),
                measurement(PolicyName.PREFILL_FIRST, 0.2, prefillFirstWasteTenths / 10.0));
        assertThat(Bounds.of(DemandedOutcomes.BOTTLENECK, measurements).stream().filter(bound -> !bound.isMet()))
                .hasSize(missed);
    }

    @Test
    void commandPrintsOneLineForEachPolicy() {
        StringWriter output = new StringWriter();
        int status = command(output).execute("../traces/cordillera.jsonl", "--policy", "merlinwood,round-robin");
        assertThat(status).isZero();
        assertThat(output.toString().lines())
                .hasSize(2)
                .first()
                .asString()
                .startsWith("{\"policy\":\"merlinwood\",\"trace\":\"cordillera\",\"goodput\":");
    }

    @ParameterizedTest
    @CsvSource({"../traces/cordillera.jsonl,--policy=fastest", "missing.jsonl,--seed=1", "../pom.xml,--seed=1"})
    void commandRejectsInvalidArguments(String file, String option) {
        assertThat(command(new StringWriter()).execute(file, option)).isEqualTo(INVALID_ARGUMENTS);
    }

    private static CommandLine command(StringWriter output) {
        return new CommandLine(new ReplayCommand())
                .setOut(new PrintWriter(output))
                .setErr(new PrintWriter(new StringWriter()));
    }

    private static Measurement measurement(PolicyName policy, double goodput, double waste) {
        return new Measurement(policy.label(), "trace", goodput, waste, 1, 0, 0, 0);
    }
}
