package org.merlinwood.standin.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.standin.HttpTestClient;
import org.merlinwood.standin.network.Addresses;

final class ConfigurationServiceTest {

    private static final String INVENTORY = "/v1/documents/inventory";
    private static final int TIMEOUT_SECONDS = 20;

    private final HttpTestClient client = new HttpTestClient();
    private final ConfigurationService service =
            new ConfigurationService(Addresses.anyLoopback(), Addresses.anyLoopback(), 100, 0);

    @AfterEach
    void stop() {
        service.close();
        client.close();
    }

    @Test
    void incrementsRevisionWithEachPublication() throws Exception {
        client.send("PUT", service.administrationAddress(), INVENTORY, "a");
        client.send("PUT", service.administrationAddress(), INVENTORY, "b");
        assertThat(client.get(service.address(), INVENTORY).text()).isEqualTo("{\"revision\":2,\"content\":\"b\"}");
    }

    @Test
    void respondsToWatchOnceHigherRevisionExists() throws Exception {
        service.publish("inventory", "a");
        CompletionStage<?> watch = client.httpClient()
                .execute(HttpTestClient.request("GET", service.address(), INVENTORY + "?after=1&waitMillis=9000", ""));
        service.publish("inventory", "b");
        assertThat(watch.toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                .isNotNull();
    }

    @Test
    void endsWatchWithoutNewRevision() throws Exception {
        service.publish("inventory", "a");
        assertThat(client.get(service.address(), INVENTORY + "?after=1&waitMillis=1")
                        .status())
                .isEqualTo(304);
    }

    @Test
    void refusesWritesOnPublicPort() throws Exception {
        assertThat(client.send("PUT", service.address(), INVENTORY, "a").status())
                .isEqualTo(405);
    }

    @Test
    void showsAnOldRevisionWhileStale() throws Exception {
        service.publish("inventory", "a");
        service.publish("inventory", "b");
        client.post(service.administrationAddress(), "/stale/inventory?revision=1", "");
        assertThat(client.get(service.address(), INVENTORY).text()).contains("\"revision\":1");
    }

    @Test
    void refusesWhileDown() throws Exception {
        client.post(service.administrationAddress(), "/down", "");
        assertThat(client.get(service.address(), INVENTORY).status()).isEqualTo(503);
    }

    @Test
    void refusesRequestsOverItsLimit() throws Exception {
        try (ConfigurationService limited =
                new ConfigurationService(Addresses.anyLoopback(), Addresses.anyLoopback(), 1, 0)) {
            HttpTestClient.await(
                    () -> client.get(limited.address(), "/v1/instances").status() == 429);
            assertThat(limited.counts().refused()).isPositive();
        }
    }

    @Test
    void listsInstancesAfterTheLag() throws Exception {
        String list = "{\"instances\":[{\"name\":\"decode-1\",\"state\":\"LEAVING\"}]}";
        client.post(service.administrationAddress(), "/lag?millis=50", "");
        client.send("PUT", service.administrationAddress(), "/v1/instances", list);
        HttpTestClient.await(
                () -> client.get(service.address(), "/v1/instances").text().equals(list));
    }
}
