package org.merlinwood.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.standin.engine.EngineOptions;
import org.merlinwood.standin.engine.ModelEngine;
import org.merlinwood.standin.platform.WeightStore;

/** An engine that starts with another role and without its model receives orders until it matches the inventory. */
final class EngineOrdersTest {

    private static final int WEIGHT_BYTES = 1_000;
    private static final long REQUESTS_PER_SECOND = 10;

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void engineConvergesToInventory(boolean fencingChecked) throws Exception {
        EngineOptions options = EngineOptions.builder()
                .role("PREFILL")
                .models(List.of("old"))
                .fencingChecked(fencingChecked)
                .build();
        try (WeightStore store = weightStore();
                ModelEngine engine =
                        new ModelEngine(SidecarFixture.ANY_PORT, SidecarFixture.ANY_PORT, options, Optional.empty());
                SidecarFixture fixture =
                        new SidecarFixture(InstanceRole.DECODE, engine.address(), Optional.of(store.address()))) {
            SidecarFixture.await(fixture.process()::isReady);
            SidecarFixture.await(() -> {
                String models = models(engine.address());
                return models.contains("DECODE")
                        && models.contains('"' + SidecarFixture.MODEL + '"')
                        && !models.contains("\"old\"");
            });
            assertThat(fixture.process().isReady()).isTrue();
        }
    }

    private static String models(InetSocketAddress engine) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + engine.getPort() + "/v1/models"))
                .build();
        try (HttpClient client = HttpClient.newHttpClient()) {
            return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
        } catch (Exception exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static WeightStore weightStore() {
        return new WeightStore(SidecarFixture.ANY_PORT, SidecarFixture.ANY_PORT, WEIGHT_BYTES, REQUESTS_PER_SECOND);
    }
}
