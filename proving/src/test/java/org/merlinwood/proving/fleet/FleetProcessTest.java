package org.merlinwood.proving.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.merlinwood.standin.network.Addresses;
import org.merlinwood.standin.network.FreePorts;

final class FleetProcessTest {

    private static final long TIMEOUT_MILLIS = 30_000;
    private static final int TERMINATED_STATUS = 143;

    @TempDir
    private Path folder;

    private final FleetProbe probe = new FleetProbe();
    private final FreePorts ports = new FreePorts();
    private FleetProcess process;
    private InetSocketAddress address;

    @BeforeEach
    void start() {
        address = ports.next();
        List<String> arguments =
                List.of("plain", "--listen", Addresses.text(address), "--admin", Addresses.text(ports.next()));
        process = new FleetProcess(
                "plain", new JavaCommand("64m"), "org.merlinwood.standin.StandInsCommand", arguments, folder);
        process.start();
        assertThat(probe.awaitStatus(address, "/load", process, TIMEOUT_MILLIS))
                .as(process.logTail())
                .isTrue();
    }

    @AfterEach
    void stop() {
        process.kill();
        probe.close();
        ports.close();
    }

    @Test
    void exitsOnTermination() {
        process.terminate();
        assertThat(process.awaitEnd(TIMEOUT_MILLIS)).isTrue();
        assertThat(process.exitStatus()).isEqualTo(TERMINATED_STATUS);
    }

    @Test
    void respondsAfterRestart() {
        process.restart();
        assertThat(probe.awaitStatus(address, "/load", process, TIMEOUT_MILLIS)).isTrue();
    }

    @Test
    void doesNotRespondWhileFrozen() {
        process.freeze();
        assertThat(probe.awaitStatus(address, "/load", process, 1)).isFalse();
        process.thaw();
        assertThat(probe.awaitStatus(address, "/load", process, TIMEOUT_MILLIS)).isTrue();
    }

    @Test
    void canBeKilledWhileFrozen() {
        process.freeze();
        process.kill();
        assertThat(process.isAlive()).isFalse();
    }
}
