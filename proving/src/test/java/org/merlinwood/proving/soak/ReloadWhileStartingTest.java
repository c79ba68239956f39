package org.merlinwood.proving.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against an entry that exits because it receives a reload signal during startup, before its handler is in
 * place. Seeds 2 and 6 of the soak failed this way.
 */
final class ReloadWhileStartingTest {

    private static final long TIMEOUT_MILLIS = 20_000;

    private static final Path SCRIPT = Path.of("..", "bin", "merlinwood-reload");

    @TempDir
    private Path folder;

    @Test
    void entryStartsDespiteReloadSignalDuringStartup() throws InterruptedException {
        try (SoakDeployment deployment = new SoakDeployment(folder)) {
            awaitFirstLine(deployment);
            deployment.entry(0).reload();
            deployment.awaitReady();
            assertThat(deployment.endedUnexpectedly()).isEmpty();
        }
    }

    /**
     * The soak must wait with its signal where operators do. A process that was started this moment would end with
     * status 129, or by the signal.
     */
    @Test
    void reloadOfTheSoakIsSentOnceTheEntryHasAnswered() throws InterruptedException {
        try (SoakDeployment deployment = new SoakDeployment(folder)) {
            deployment.begin(new ScheduledFault(FaultKind.ENTRY_RELOADS, 0, 0, 0));
            awaitReload(deployment);
            assertThat(deployment.endedUnexpectedly()).isEmpty();
        }
    }

    /** An entry that is told to reload by the script this moment after its start must go on and reload. */
    @Test
    void scriptSignalsOnceTheEntryHasAnswered() throws IOException, InterruptedException {
        try (SoakDeployment deployment = new SoakDeployment(folder)) {
            InetSocketAddress ready = deployment.readyAddress(0);
            Process script = runScript(
                    String.valueOf(deployment.entry(0).processIdentifier()),
                    ready.getHostString() + ":" + ready.getPort());
            assertThat(script.waitFor()).isZero();
            awaitReload(deployment);
            assertThat(deployment.endedUnexpectedly()).isEmpty();
        }
    }

    /** The script must neither wait for a process that has ended nor signal anything. */
    @Test
    void scriptSignalsNothingIfTheProcessHasEnded() throws IOException, InterruptedException {
        try (SoakDeployment deployment = new SoakDeployment(folder)) {
            InetSocketAddress ready = deployment.readyAddress(0);
            deployment.entry(0).kill();
            Process script = runScript(
                    String.valueOf(deployment.entry(0).processIdentifier()),
                    ready.getHostString() + ":" + ready.getPort());
            assertThat(script.waitFor()).isEqualTo(1);
        }
    }

    private static Process runScript(String process, String readyAddress) throws IOException {
        return new ProcessBuilder(SCRIPT.toString(), process, readyAddress)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    private static void awaitReload(SoakDeployment deployment) throws InterruptedException {
        for (long waited = 0;
                reloads(deployment).isEmpty() && deployment.entry(0).isAlive() && waited < TIMEOUT_MILLIS;
                waited++) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertThat(reloads(deployment))
                .as("reloads; ended: %s", deployment.endedUnexpectedly())
                .hasSize(1);
    }

    private static List<String> reloads(SoakDeployment deployment) {
        return deployment.entry(0).logLines("\"reload\"");
    }

    /** Waits until the entry has logged its first line; it does not serve yet. */
    private static void awaitFirstLine(SoakDeployment deployment) throws InterruptedException {
        for (long waited = 0; deployment.log(0).isEmpty() && waited < TIMEOUT_MILLIS; waited++) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }
}
