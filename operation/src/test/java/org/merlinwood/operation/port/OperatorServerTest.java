package org.merlinwood.operation.port;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class OperatorServerTest {

    private record Section(String text) {}

    private OperatorServer server;

    @BeforeEach
    void start() {
        MetricRegistry metrics = new MetricRegistry();
        metrics.counter("requests.open").inc(3);
        server = OperatorServer.builder(new InetSocketAddress("127.0.0.1", 0), metrics)
                .ready(() -> false)
                .section(new StateSection() {
                    @Override
                    public String name() {
                        return "example";
                    }

                    @Override
                    public Object state() {
                        return new Section("value");
                    }
                })
                .build();
        server.start();
    }

    @AfterEach
    void stop() {
        server.close();
    }

    @ParameterizedTest
    @CsvSource({
        "/health, 200, healthy",
        "/ready, 503, false",
        "/metrics, 200, merlinwood_requests_open 3.0",
        "/dump, 200, value"
    })
    void endpointReturnsExpectedStatusAndBody(String path, int status, String bodyPart) throws Exception {
        URI address = URI.create("http://127.0.0.1:" + server.boundAddress().getPort() + path);
        HttpResponse<String> response = HttpClient.newHttpClient()
                .send(HttpRequest.newBuilder(address).build(), HttpResponse.BodyHandlers.ofString());
        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(response.body()).contains(bodyPart);
    }
}
