package org.merlinwood.replay.trace;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the trace generator, the recorded trace files and trace scaling. */
final class TraceGeneratorTest {

    private static final Path TRACES = Path.of("..", "traces");

    static List<Trace> traces() {
        return TraceGenerator.all();
    }

    @ParameterizedTest
    @MethodSource("traces")
    void recordedFileEqualsGeneratedTrace(Trace trace) throws IOException {
        Path file = TRACES.resolve(trace.header().trace() + TraceFile.SUFFIX);
        assertThat(Files.readAllLines(file)).isEqualTo(TraceFile.lines(trace));
    }

    @ParameterizedTest
    @MethodSource("traces")
    void readsTheGeneratedTrace(Trace trace) {
        assertThat(TraceFile.read(TRACES.resolve(trace.header().trace() + TraceFile.SUFFIX)))
                .isEqualTo(trace);
    }

    @ParameterizedTest
    @CsvSource({"0.5", "1", "1.5", "3"})
    void scalesTheNumberOfRequests(double load) {
        Trace trace = TraceGenerator.all().get(0);
        double ratio = (double) ScaledTrace.of(trace, load, 1).events().size()
                / trace.events().size();
        assertThat(ratio).isBetween(0.93 * load, 1.07 * load);
    }

    @Test
    void rejectsInvalidTraceFile(@TempDir Path folder) throws IOException {
        Path file = Files.writeString(folder.resolve("not-a-trace.jsonl"), "{\"surprise\":1}\n");
        assertThatThrownBy(() -> TraceFile.read(file))
                .isInstanceOf(UncheckedIOException.class)
                .hasMessageContaining("not-a-trace.jsonl");
    }
}
