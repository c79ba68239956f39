package org.merlinwood.standin.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.standin.Calls;
import org.merlinwood.standin.network.Addresses;

final class ConfigurationServiceTest {

    private static final String INVENTORY = "/v1/documents/inventory";
    private static final int PATIENCE_SECONDS = 20;

    private final Calls calls = new Calls();
    private final ConfigurationService service =
            new ConfigurationService(Addresses.anyLoopback(), Addresses.anyLoopback(), 100, 0);

    @AfterEach
    void stop() {
        service.close();
        calls.close();
    }

    @Test
    void raisesTheRevisionWithEachPublication() throws Exception {
        calls.send("PUT", service.administrationAddress(), INVENTORY, "a");
        calls.send("PUT", service.administrationAddress(), INVENTORY, "b");
        assertThat(calls.get(service.address(), INVENTORY).text()).isEqualTo("{\"revision\":2,\"content\":\"b\"}");
    }

    @Test
    void answersAWatchOnceAHigherRevisionExists() throws Exception {
        service.publish("inventory", "a");
        CompletionStage<?> watch = calls.client()
                .execute(Calls.call("GET", service.address(), INVENTORY + "?after=1&waitMillis=9000", ""));
        service.publish("inventory", "b");
        assertThat(watch.toCompletableFuture().get(PATIENCE_SECONDS, TimeUnit.SECONDS))
                .isNotNull();
    }

    @Test
    void endsAWatchWithoutNews() throws Exception {
        service.publish("inventory", "a");
        assertThat(calls.get(service.address(), INVENTORY + "?after=1&waitMillis=1")
                        .status())
                .isEqualTo(304);
    }

    @Test
    void canNotBeWrittenOnItsPublicPort() throws Exception {
        assertThat(calls.send("PUT", service.address(), INVENTORY, "a").status())
                .isEqualTo(405);
    }

    @Test
    void showsAnOldRevisionWhileStale() throws Exception {
        service.publish("inventory", "a");
        service.publish("inventory", "b");
        calls.post(service.administrationAddress(), "/stale/inventory?revision=1", "");
        assertThat(calls.get(service.address(), INVENTORY).text()).contains("\"revision\":1");
    }

    @Test
    void refusesWhileDown() throws Exception {
        calls.post(service.administrationAddress(), "/down", "");
        assertThat(calls.get(service.address(), INVENTORY).status()).isEqualTo(503);
    }

    @Test
    void refusesCallsOverItsLimit() throws Exception {
        try (ConfigurationService tight =
                new ConfigurationService(Addresses.anyLoopback(), Addresses.anyLoopback(), 1, 0)) {
            Calls.await(() -> calls.get(tight.address(), "/v1/instances").status() == 429);
            assertThat(tight.counts().refused()).isPositive();
        }
    }

    @Test
    void listsInstancesAfterTheLag() throws Exception {
        String list = "{\"instances\":[{\"name\":\"decode-1\",\"state\":\"LEAVING\"}]}";
        calls.post(service.administrationAddress(), "/lag?millis=50", "");
        calls.send("PUT", service.administrationAddress(), "/v1/instances", list);
        Calls.await(() -> calls.get(service.address(), "/v1/instances").text().equals(list));
    }
}
