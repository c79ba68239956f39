package org.merlinwood.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.crash.CrashCausingParts;
import org.merlinwood.gateway.crash.CrashReport;
import org.merlinwood.gateway.crash.RecordingCrashListener;
import org.merlinwood.operation.port.StateDump;

final class BlockedPartsSectionTest {

    /** Guards against requests that are refused for their parts while nothing says which, and until when. */
    @Test
    void dumpShowsBlockedPartsAndUntilWhen() throws Exception {
        ManualMillisClock clock = new ManualMillisClock(500_000);
        CrashCausingParts parts = new CrashCausingParts(clock, 1, new RecordingCrashListener());
        CrashReport.Block block = new CrashReport.Block(Set.of(0x1FL, 0x2EL), 60_000, 1);
        parts.onPeerReport("peer", new CrashReport(List.of(), List.of(), List.of(block)));
        BlockedPartsSection section = new BlockedPartsSection(parts);
        assertThat(section.state())
                .containsExactly(new BlockedPartsSection.Block(
                        List.of("000000000000001f", "000000000000002e"), 60_000, 60_000, 1));
        assertThat(StateDump.write(List.of(section))).contains("blockedPromptParts", "000000000000001f");
    }
}
