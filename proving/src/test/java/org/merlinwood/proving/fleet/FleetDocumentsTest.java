package org.merlinwood.proving.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.configuration.document.RulesReader;
import org.merlinwood.configuration.document.RulesWriter;
import org.merlinwood.proving.fleet.FleetPlan.PlainPool;

final class FleetDocumentsTest {

    @ParameterizedTest
    @ValueSource(strings = {FleetDocuments.LEDGER, FleetDocuments.PORTAL})
    void rulesAreReadableAfterWriting(String service) {
        FleetPlan plan = FleetPlan.builder()
                .plainServices(List.of(new PlainPool(service, 1)))
                .build();
        String text = RulesWriter.write(FleetDocuments.rules(plan));
        assertThat(RulesReader.read("rules", 1, text).isRight()).isTrue();
    }
}
