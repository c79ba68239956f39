package org.merlinwood.configuration.document;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.rules.Rules;

/** The example documents of the repository are valid and survive writing and reading unchanged. */
class ExamplesTest {

    @ParameterizedTest
    @CsvSource({"bagmati, 3, 4, 6, 3", "cordillera, 3, 3, 3, 3"})
    void inventoryHasExpectedInstanceCounts(String deployment, long entries, long prefill, long decode, long plain)
            throws IOException {
        Inventory inventory = inventory(deployment);

        assertThat(count(inventory, InstanceRole.ENTRY)).isEqualTo(entries);
        assertThat(count(inventory, InstanceRole.PREFILL)).isEqualTo(prefill);
        assertThat(count(inventory, InstanceRole.DECODE)).isEqualTo(decode);
        assertThat(count(inventory, InstanceRole.PLAIN)).isEqualTo(plain);
    }

    @ParameterizedTest
    @ValueSource(strings = {"bagmati", "cordillera"})
    void inventoryAndRulesAreConsistent(String deployment) throws IOException {
        assertThat(CrossCheck.check(inventory(deployment), rules(deployment))).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"bagmati", "cordillera"})
    void writtenDocumentsAreReadBackAsEqual(String deployment) throws IOException {
        Inventory inventory = inventory(deployment);
        Rules rules = rules(deployment);

        assertThat(InventoryReader.read("written", 7, InventoryWriter.write(inventory)))
                .isEqualTo(Either.right(inventory));
        assertThat(RulesReader.read("written", 7, RulesWriter.write(rules))).isEqualTo(Either.right(rules));
    }

    @ParameterizedTest
    @ValueSource(strings = {"bagmati", "cordillera"})
    void settingsMatchTheirInventoryRows(String deployment) throws IOException {
        Inventory inventory = inventory(deployment);
        var entry = SettingsReader.readEntry("entry", text(deployment, "entry-settings.json"));
        var engine = SettingsReader.readSidecar("engine", text(deployment, "engine-sidecar-settings.json"));
        var plain = SettingsReader.readSidecar("plain", text(deployment, "plain-sidecar-settings.json"));

        assertThat(inventory
                        .instance(entry.get().process().instance())
                        .orElseThrow()
                        .address())
                .isEqualTo(entry.get().process().peerAddress());
        assertThat(inventory
                        .instance(engine.get().process().instance())
                        .orElseThrow()
                        .address())
                .isEqualTo(engine.get().process().peerAddress());
        assertThat(inventory
                        .instance(plain.get().process().instance())
                        .orElseThrow()
                        .address())
                .isEqualTo(plain.get().process().peerAddress());
        assertThat(engine.get().weightStore()).isPresent();
        assertThat(plain.get().weightStore()).isEmpty();
    }

    private static long count(Inventory inventory, InstanceRole role) {
        return inventory.instances().values().stream()
                .filter(instance -> instance.role() == role)
                .count();
    }

    private static Inventory inventory(String deployment) throws IOException {
        Either<DocumentErrors, Inventory> read =
                InventoryReader.read("inventory.json", 7, text(deployment, "inventory.json"));
        return read.getOrElseThrow(errors -> new AssertionError(errors.toString()));
    }

    private static Rules rules(String deployment) throws IOException {
        Either<DocumentErrors, Rules> read = RulesReader.read("rules.json", 7, text(deployment, "rules.json"));
        return read.getOrElseThrow(errors -> new AssertionError(errors.toString()));
    }

    private static String text(String deployment, String file) throws IOException {
        return Files.readString(Path.of("..", "examples", deployment, file));
    }
}
