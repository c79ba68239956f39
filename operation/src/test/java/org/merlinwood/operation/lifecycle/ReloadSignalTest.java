package org.merlinwood.operation.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * SIGHUP requests a reload of the settings; it must not end the process. The signal is not handled by a process that
 * was started with it ignored (as {@code nohup} does), so each test starts a process with a known disposition, whatever
 * that of the build is.
 */
final class ReloadSignalTest {

    @Test
    void hangUpSignalCallsHandlerWithoutEndingProcess() throws Exception {
        assertThat(outputOf("--default-signal=HUP")).containsExactly("handled", "reload", "reload");
    }

    /** Guards against an entry that never reloads and doesn't say why. */
    @Test
    void processThatWasStartedWithTheSignalIgnoredKnowsIt() throws Exception {
        assertThat(outputOf("--ignore-signal=HUP")).containsExactly("ignored");
    }

    private static List<String> outputOf(String signalOption) throws Exception {
        Process process = new ProcessBuilder(
                        "env",
                        signalOption,
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx32m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        ReloadingProcess.class.getName())
                .redirectErrorStream(true)
                .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(process.waitFor()).as(output).isZero();
        return output.lines().toList();
    }
}
