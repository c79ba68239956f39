package org.merlinwood.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Output and exit status of {@code explain} for the logs of two entries. */
class ExplainCommandTest {

    @TempDir
    Path folder;

    private Path first;
    private Path second;

    @BeforeEach
    void writeLogs() throws IOException {
        first = folder.resolve("first.log");
        second = folder.resolve("second.log");
        Files.writeString(first, """
                {"time":"2026-01-01T00:00:02Z","process":"one","decision":"answered","request":"r1","status":200}
                not JSON, but names r1 {
                {"time":"2026-01-01T00:00:00Z","process":"one","decision":"accepted","request":"r10"}
                """);
        Files.writeString(second, """
                  1.25 two {"time":"2026-01-01T00:00:01Z","process":"two","decision":"send","request":"r1","instance":"i"}
                """);
    }

    @Test
    void decisionsOfRequestArePrintedByTime() {
        CommandRun run = CommandRun.of("explain", "r1", first, second);
        assertThat(run.status()).isEqualTo(ExitStatus.SUCCESS);
        assertThat(run.output().lines())
                .containsExactly(
                        "2026-01-01T00:00:01Z  two  send  instance=i",
                        "2026-01-01T00:00:02Z  one  answered  status=200");
    }

    @Test
    void unknownRequestIsReported() {
        CommandRun run = CommandRun.of("explain", "r2", first);
        assertThat(run.status()).isEqualTo(ExitStatus.FINDINGS);
        assertThat(run.output()).contains("no log names request r2");
    }

    @Test
    void missingLogReturnsUsageStatus() {
        assertThat(CommandRun.of("explain", "r1", folder.resolve("none")).status())
                .isEqualTo(ExitStatus.USAGE);
    }
}
