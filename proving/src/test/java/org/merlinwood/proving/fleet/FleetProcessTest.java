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
import org.merlinwood.standin.plain.PlainLedger;

final class FleetProcessTest {

    private static final long TIMEOUT_MILLIS = 30_000;

    /** Longer than the probe waits for one response. */
    private static final long UNANSWERED_MILLIS = 3_000;

    private static final int TERMINATED_STATUS = 143;

    @TempDir
    private Path folder;

    private final FleetProbe probe = new FleetProbe();
    private final FreePorts ports = new FreePorts();
    private FleetProcess process;
    private InetSocketAddress address;
    private InetSocketAddress administration;

    @BeforeEach
    void start() {
        address = ports.next();
        administration = ports.next();
        List<String> arguments =
                List.of("plain", "--listen", Addresses.text(address), "--admin", Addresses.text(administration));
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

    /** Guards against processes that outlive a proof which was ended by a signal while it repaired its fleet. */
    @Test
    void isNotStartedAgainOnceClosed() {
        process.close();
        process.start();
        assertThat(process.isAlive()).isFalse();
    }

    @Test
    void canBeKilledWhileFrozen() {
        process.freeze();
        process.kill();
        assertThat(process.isAlive()).isFalse();
    }

    /** Guards against a proof that gives up on a stand-in without a word about what it did. */
    @Test
    void threadDumpShowsTheThreadsOfTheProcess() {
        assertThat(process.threadDump()).contains("Full thread dump").contains("\"main\"");
        assertThat(process.isAlive()).isTrue();
    }

    /** Guards against a proof that fails since a stand-in did not get the processor for 2 s. */
    @Test
    void ledgerOfAFrozenStandInIsReadOnceItRunsAgain() throws InterruptedException {
        process.freeze();
        Thread thawing = Thread.startVirtualThread(this::thawAfterOneUnansweredRead);
        PlainLedger ledger = probe.plainLedger(new Upstream("plain", process, address, administration));
        thawing.join();
        assertThat(ledger.runs()).isEmpty();
    }

    private void thawAfterOneUnansweredRead() {
        try {
            Thread.sleep(UNANSWERED_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        process.thaw();
    }
}
