package org.merlinwood.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Output and exit status of {@code losses} for the logs of two entries. */
class LossesCommandTest {

    @TempDir
    Path folder;

    private Path first;
    private Path second;

    @BeforeEach
    void writeLogs() throws IOException {
        first = folder.resolve("first.log");
        second = folder.resolve("second.log");
        Files.writeString(first, """
                {"time":"2026-01-01T00:00:00.100Z","process":"one","decision":"accepted","request":"r1","route":"a"}
                {"time":"2026-01-01T00:00:00.200Z","process":"one","decision":"send","request":"r1","route":"a","instance":"i1"}
                {"time":"2026-01-01T00:00:02.900Z","process":"one","decision":"answered","request":"r1","route":"a","status":200,"firstEventMillis":1200,"elapsedMillis":2800}
                {"time":"2026-01-01T00:00:03.100Z","process":"one","decision":"accepted","request":"r2","route":"a"}
                {"time":"2026-01-01T00:00:03.200Z","process":"one","decision":"failed","request":"r2","route":"a","code":2001}
                {"time":"2026-01-01T00:00:04.100Z","process":"one","decision":"accepted","request":"r3","route":"a"}
                {"time":"2026-01-01T00:00:04.600Z","process":"one","decision":"answered","request":"r3","route":"a","status":200,"firstEventMillis":300,"elapsedMillis":2800}
                """);
        Files.writeString(second, """
                  3.90 two {"time":"2026-01-01T00:00:03.900Z","process":"two","decision":"failed","request":"r4","route":"a","code":2001}
                  5.10 two {"time":"2026-01-01T00:00:05.100Z","process":"two","decision":"failed","request":"r5","route":"a","code":2001}
                  not a decision {"level":"INFO"}
                """);
    }

    @Test
    void largestLossesAreNamedWithTheirSecondEntryAndInstance() {
        CommandRun run = CommandRun.of("losses", first, second);
        assertThat(run.status()).isEqualTo(ExitStatus.SUCCESS);
        assertThat(run.output().lines())
                .containsExactly(
                        "3 requests accepted",
                        "3  a  failed, code 2001  most in second 2026-01-01T00:00:03 (2), at entry two (2)",
                        "1  a  late  most in second 2026-01-01T00:00:02 (1), at entry one (1), at instance i1 (1)");
    }

    @Test
    void numberOfGroupsAndLatenessCanBeSet() {
        CommandRun run = CommandRun.of("losses", "--top", "1", "--late-stream-ms", "200", first);
        assertThat(run.output().lines()).hasSize(2).last().asString().startsWith("2  a  late");
    }

    @Test
    void missingLogReturnsUsageStatus() {
        assertThat(CommandRun.of("losses", folder.resolve("none")).status()).isEqualTo(ExitStatus.USAGE);
    }
}
