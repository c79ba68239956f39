package org.merlinwood.proving.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An operator changes settings just while an entry starts; seeds 2 and 6 of the soak lost their entry by it. */
final class ReloadWhileStartingTest {

    private static final long PATIENCE_MILLIS = 20_000;

    @TempDir
    private Path folder;

    @Test
    void anEntryThatIsToldToReloadBeforeItServesStartsAllTheSame() throws InterruptedException {
        try (SoakDeployment deployment = new SoakDeployment(folder)) {
            awaitFirstLine(deployment);
            deployment.begin(new ScheduledFault(FaultKind.ENTRY_RELOADS, 0, 0, 0));
            deployment.awaitReady();
            assertThat(deployment.missing()).isEmpty();
        }
    }

    /** The program runs, but nothing of it serves yet. */
    private static void awaitFirstLine(SoakDeployment deployment) throws InterruptedException {
        for (long waited = 0; deployment.log(0).isEmpty() && waited < PATIENCE_MILLIS; waited++) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }
}
