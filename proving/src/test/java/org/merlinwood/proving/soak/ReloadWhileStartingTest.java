package org.merlinwood.proving.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against an entry that exits because it receives a reload signal during startup, before its handler is in
 * place. Seeds 2 and 6 of the soak failed this way.
 */
final class ReloadWhileStartingTest {

    private static final long TIMEOUT_MILLIS = 20_000;

    @TempDir
    private Path folder;

    @Test
    void entryStartsDespiteReloadSignalDuringStartup() throws InterruptedException {
        try (SoakDeployment deployment = new SoakDeployment(folder)) {
            awaitFirstLine(deployment);
            deployment.begin(new ScheduledFault(FaultKind.ENTRY_RELOADS, 0, 0, 0));
            deployment.awaitReady();
            assertThat(deployment.endedUnexpectedly()).isEmpty();
        }
    }

    /** Waits until the entry has logged its first line; it does not serve yet. */
    private static void awaitFirstLine(SoakDeployment deployment) throws InterruptedException {
        for (long waited = 0; deployment.log(0).isEmpty() && waited < TIMEOUT_MILLIS; waited++) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }
}
