package org.merlinwood.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.standin.network.Addresses;
import org.merlinwood.standin.platform.WeightStore;

final class OrdersTest {

    private final EngineFixture fixture = new EngineFixture();

    @AfterEach
    void stop() {
        fixture.close();
    }

    @ParameterizedTest
    @CsvSource({"true,409,DECODE", "false,200,PREFILL"})
    void refusesOldFencingNumbersOnlyWhenChecked(boolean checked, int status, String role) throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder().fencingChecked(checked));
        assertThat(order(engine, 5, "\"kind\":\"CHANGE_ROLE\",\"role\":\"DECODE\"")
                        .status())
                .isEqualTo(200);
        assertThat(order(engine, 4, "\"kind\":\"CHANGE_ROLE\",\"role\":\"PREFILL\"")
                        .status())
                .isEqualTo(status);
        assertThat(fixture.client().get(engine.address(), "/v1/models").text())
                .contains("\"role\":\"" + role + "\"", "\"highestFencing\":5");
    }

    @Test
    void loadsModelFromWeightStoreWithinItsRate() throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder());
        try (WeightStore store = new WeightStore(Addresses.anyLoopback(), Addresses.anyLoopback(), 1_000, 1)) {
            String from = ",\"weightStore\":\"" + Addresses.text(store.address()) + "\"";
            HttpResponse loaded = order(
                    engine,
                    1,
                    "\"kind\":\"LOAD_MODEL\",\"model\":\"new\",\"version\":\"2\",\"weights\":\"new-2\"" + from);
            assertThat(loaded.status()).isEqualTo(200);
            HttpResponse refused =
                    order(engine, 2, "\"kind\":\"LOAD_ADAPTER\",\"model\":\"new\",\"adapter\":\"tone\"" + from);
            assertThat(refused.status()).isIn(200, 503);
            assertThat(store.counts().refused()).isEqualTo(refused.status() == 503 ? 1 : 0);
            assertThat(fixture.client().get(engine.address(), "/v1/models").text())
                    .contains("\"name\":\"new\",\"version\":\"2\"");
        }
    }

    private HttpResponse order(ModelEngine engine, long fencing, String rest) throws Exception {
        return fixture.client().post(engine.address(), "/v1/orders", "{\"fencing\":" + fencing + "," + rest + "}");
    }
}
