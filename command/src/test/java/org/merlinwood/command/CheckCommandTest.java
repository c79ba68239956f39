package org.merlinwood.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Output and exit status of {@code check} for valid, invalid and unreadable documents. */
class CheckCommandTest {

    private static final Path BAGMATI = Path.of("..", "examples", "bagmati");

    private static final String GATEWAY_SETTINGS = """
            {"instance": "entry-1", "failureDomain": "z", "callerAddress": "127.0.0.1:8001",
             "readyAddress": "127.0.0.1:8002", "peerAddress": "127.0.0.1:8003",
             "peerSecret": "00112233445566778899aabbccddeeff", "seeds": [], "storeAddress": "127.0.0.1:8004",
             "graceSeconds": 5, "repeatRatio": 0.2, "repeatFixed": 50, "repeatWindowSeconds": 10}
            """;

    @TempDir
    Path folder;

    @Test
    void exampleDocumentsAreValid() throws IOException {
        try (var files = Files.walk(BAGMATI.getParent())) {
            Object[] arguments = Stream.concat(Stream.of("check"), files.filter(Files::isRegularFile))
                    .toArray();
            CommandRun run = CommandRun.of(arguments);

            assertThat(run.errors()).isEmpty();
            assertThat(run.output().lines()).hasSize(arguments.length - 1).allMatch(line -> line.contains(": valid "));
            assertThat(run.status()).isEqualTo(ExitStatus.SUCCESS);
        }
    }

    @Test
    void findingContainsFileLineAndColumn() throws IOException {
        Path file = edited("inventory.json", "\"role\": \"plain\"", "\"role\": \"plane\"");

        CommandRun run = CommandRun.of("check", file);

        assertThat(run.status()).isEqualTo(ExitStatus.FINDINGS);
        assertThat(run.output().lines().findFirst().orElseThrow())
                .matches(".*inventory\\.json:\\d+:\\d+: instances\\[13\\]\\.role: 'plane' is unknown; write one of .*");
    }

    @Test
    void gatewaySettingsAreValidated() throws IOException {
        Path file = folder.resolve("gateway.json");
        Files.writeString(file, GATEWAY_SETTINGS);
        CommandRun good = CommandRun.of("check", file);
        assertThat(good.output()).contains("valid gateway-settings: settings of entry-1");
        assertThat(good.status()).isEqualTo(ExitStatus.SUCCESS);

        Files.writeString(file, GATEWAY_SETTINGS.replace("127.0.0.1:8003", "127.0.0.1"));
        CommandRun bad = CommandRun.of("check", file);
        assertThat(bad.output()).contains("gateway.json");
        assertThat(bad.status()).isEqualTo(ExitStatus.FINDINGS);
    }

    @Test
    void inventoryAndRulesInOneFolderAreCheckedForConsistency() throws IOException {
        Path inventory = edited("inventory.json", "\"service\": \"hydrant-ledger\"", "\"service\": \"hydrants\"");
        Path rules = edited("rules.json", "x", "x");

        CommandRun run = CommandRun.of("check", inventory, rules);

        assertThat(run.status()).isEqualTo(ExitStatus.FINDINGS);
        assertThat(run.output())
                .contains("error: instances: the service 'hydrants'")
                .contains("error: services[hydrant-ledger]: no instance of the inventory serves it");
    }

    @ParameterizedTest
    @CsvSource({"entry-settings.json, sidecar-settings, 1", "entry-settings.json, entry-settings, 0"})
    void kindOptionSelectsTheReader(String file, String kind, int status) {
        assertThat(CommandRun.of("check", "--kind", kind, BAGMATI.resolve(file)).status())
                .isEqualTo(status);
    }

    @ParameterizedTest
    @ValueSource(strings = {"check", "check nowhere.json", "check --kind table x.json", "plan a b", "", "dump here"})
    void invalidUsageReturnsUsageStatus(String line) {
        CommandRun run = CommandRun.of((Object[]) line.split(" "));

        assertThat(run.status()).isEqualTo(ExitStatus.USAGE);
        assertThat(run.errors()).isNotBlank().doesNotContain("\tat ");
    }

    private Path edited(String name, String original, String replacement) throws IOException {
        String text = Files.readString(BAGMATI.resolve(name)).replace(original, replacement);
        return Files.writeString(folder.resolve(name), text);
    }
}
