package org.merlinwood.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Output and exit status of {@code plan} for edits of an inventory and of rules. */
class PlanCommandTest {

    private static final Path BAGMATI = Path.of("..", "examples", "bagmati");

    @TempDir
    Path folder;

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            inventory.json | "version": "2026-11"   | "version": "2026-12"  | model report-summary: version changes from 2026-11 to 2026-12
            inventory.json | "version": "2026-11"   | "version": "2026-12"  | is loaded anew by runner-01, runner-02
            inventory.json | {"name": "entry-3"     | {"state": "draining", "name": "entry-3" | entry-3 drains
            inventory.json | {"name": "entry-3"     | {"state": "draining", "name": "entry-3" | entries that take work: 3 -> 2
            inventory.json | {"name": "ledger-3"    | {"state": "retired", "name": "ledger-3" | ledger-3 is retired
            inventory.json | {"name": "ledger-3"    | {"state": "retired", "name": "ledger-3" | from ledger-3 to ledger-1; nobody waits for ledger-3
            inventory.json | {"name": "ledger-3"    | {"name": "ledger-4"   | they are withheld until ledger-3 has handed them over
            inventory.json | {"name": "ledger-3"    | {"name": "ledger-4"   | ledger-4 joins: hydrant-ledger in kirtipur
            inventory.json | {"name": "ledger-3"    | {"name": "ledger-4"   | CAUTION: ledger-3 is not marked "retired"
            inventory.json | "concurrency": 32      | "concurrency": 40     | ledger-1: concurrency changes from 32 to 40
            rules.json     | "repeatability": "non-idempotent", "keyDemand": "required" | "repeatability": "idempotent" | CAUTION: POST /bookings may run more than once
            rules.json     | "drainSeconds": 60     | "drainSeconds": 30    | limits: drainMillis changes from 60000 to 30000
            rules.json     | "name": "officer"      | "name": "chief"       | caller officer is removed
            """)
    void changeIsDescribed(String file, String original, String replacement, String expected) throws IOException {
        Path edited = edited(file, original, replacement);

        CommandRun run = CommandRun.of("plan", BAGMATI.resolve(file), edited);

        assertThat(run.status()).isEqualTo(ExitStatus.SUCCESS);
        assertThat(run.output()).contains(expected);
    }

    @Test
    void changedCommentIsNoChange() throws IOException {
        Path edited = edited("inventory.json", "// Inventory of", "// The inventory of");

        CommandRun run = CommandRun.of("plan", BAGMATI.resolve("inventory.json"), edited);

        assertThat(run.output()).isEqualToIgnoringNewLines("nothing changes");
    }

    @Test
    void invalidFileReturnsFindingsStatus() throws IOException {
        Path edited = edited("inventory.json", "\"pieces\": 80", "\"pieces\": 0");

        assertThat(CommandRun.of("plan", BAGMATI.resolve("inventory.json"), edited)
                        .status())
                .isEqualTo(ExitStatus.FINDINGS);
    }

    @Test
    void documentsOfDifferentKindsReturnUsageStatus() {
        assertThat(CommandRun.of("plan", BAGMATI.resolve("inventory.json"), BAGMATI.resolve("rules.json"))
                        .status())
                .isEqualTo(ExitStatus.USAGE);
    }

    private Path edited(String name, String original, String replacement) throws IOException {
        String text = Files.readString(BAGMATI.resolve(name)).replace(original, replacement);
        return Files.writeString(folder.resolve(name), text);
    }
}
