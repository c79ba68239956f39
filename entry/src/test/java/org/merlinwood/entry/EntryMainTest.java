package org.merlinwood.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

/** Verifies that invalid settings end the process with an error message before it listens. */
class EntryMainTest {

    private static final int EXIT_INVALID_SETTINGS = 2;

    @TempDir
    private Path directory;

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "{\"instance\": \"entry-1\"}", "{\"instance\": 7, \"unknown\": true}"})
    void invalidSettingsAreReportedWithFileName(String text) throws Exception {
        Path settings = Files.writeString(directory.resolve("settings.json"), text);

        assertThat(runAndCaptureErrors("--settings", settings.toString())).contains("settings.json");
    }

    @Test
    void missingFileIsReported() {
        assertThat(runAndCaptureErrors(
                        "--settings", directory.resolve("absent.json").toString()))
                .contains("absent.json");
    }

    @Test
    void settingsOptionIsRequired() {
        assertThat(runAndCaptureErrors()).contains("--settings");
    }

    private static String runAndCaptureErrors(String... arguments) {
        PrintStream previous = System.err;
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        System.setErr(new PrintStream(errors, true, StandardCharsets.UTF_8));
        try {
            assertThat(new CommandLine(new EntryMain()).execute(arguments)).isEqualTo(EXIT_INVALID_SETTINGS);
        } finally {
            System.setErr(previous);
        }
        return errors.toString(StandardCharsets.UTF_8);
    }
}
