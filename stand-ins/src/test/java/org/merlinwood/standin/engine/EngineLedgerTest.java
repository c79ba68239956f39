package org.merlinwood.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.standin.engine.impl.MemoryPieces;
import org.merlinwood.standin.engine.impl.WorkRegistry;
import org.merlinwood.standin.impl.Ledger;

final class EngineLedgerTest {

    @TempDir
    private Path folder;

    @Test
    void marksOpenRunsOfPreviousProcessAsCrashed() {
        openRegistry().admit("request", "decode", "digest", 10, 2, 0);
        WorkRegistry reopened = openRegistry();
        assertThat(reopened.ledger().heldPieces()).isZero();
        assertThat(reopened.ledger().runs())
                .singleElement()
                .extracting(EngineRun::outcome)
                .isEqualTo(EngineRun.Outcome.CRASHED);
    }

    @Test
    void continuesRunNumbersAfterRestart() {
        openRegistry().admit("first", "decode", "digest", 10, 2, 0);
        WorkRegistry reopened = openRegistry();
        reopened.admit("second", "decode", "digest", 10, 2, 0);
        assertThat(reopened.ledger().runs()).extracting(EngineRun::sequence).containsExactly(1L, 2L);
    }

    private WorkRegistry openRegistry() {
        Ledger<EngineRun> ledger = new Ledger<>(Optional.of(folder.resolve("runs")), EngineRun.class);
        return new WorkRegistry(new MemoryPieces(4), ledger, new ManualMillisClock(1));
    }
}
