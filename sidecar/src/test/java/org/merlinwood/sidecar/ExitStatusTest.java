package org.merlinwood.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.operation.lifecycle.ProcessLifecycle;
import picocli.CommandLine;

final class ExitStatusTest {

    @TempDir
    private Path folder;

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "{}", "{\"instance\": \"ledger-1\", \"unknown\": 1}"})
    void invalidSettingsExitBeforeListening(String text) throws Exception {
        assertThat(execute(text)).isEqualTo(ProcessLifecycle.EXIT_INVALID_SETTINGS);
    }

    @Test
    void missingSettingsFileIsInvalid() {
        int status = new CommandLine(new SidecarMain())
                .execute("--settings", folder.resolve("none.json").toString());
        assertThat(status).isEqualTo(ProcessLifecycle.EXIT_INVALID_SETTINGS);
    }

    @Test
    void guardPortInUseEndsProcess() throws Exception {
        try (ServerSocket guardSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String settings = "{\"instance\": \"ledger-1\", \"failureDomain\": \"lalitpur\","
                    + "\"peerAddress\": \"127.0.0.1:1\", \"operatorAddress\": \"127.0.0.1:2\","
                    + "\"configurationService\": [\"127.0.0.1:3\"], \"seedPeers\": [],"
                    + "\"keys\": [{\"identifier\": 1, \"secretHexadecimal\": \"" + "11".repeat(32) + "\"}],"
                    + "\"upstreamAddress\": \"127.0.0.1:4\", \"guardPort\": " + guardSocket.getLocalPort() + "}";
            assertThat(execute(settings)).isEqualTo(ProcessLifecycle.EXIT_ADDRESS_IN_USE);
        }
    }

    private int execute(String settings) throws Exception {
        Path file = Files.writeString(folder.resolve("settings.json"), settings);
        return new CommandLine(new SidecarMain()).execute("--settings", file.toString());
    }
}
