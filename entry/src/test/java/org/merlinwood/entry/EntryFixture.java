package org.merlinwood.entry;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.apache.commons.codec.digest.DigestUtils;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.inventory.Model;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.configuration.rules.CallerClass;
import org.merlinwood.configuration.rules.CallerRule;
import org.merlinwood.configuration.rules.KeyDemand;
import org.merlinwood.configuration.rules.Limits;
import org.merlinwood.configuration.rules.Repeatability;
import org.merlinwood.configuration.rules.RouteRule;
import org.merlinwood.configuration.rules.Rules;
import org.merlinwood.configuration.rules.ServiceKind;
import org.merlinwood.configuration.rules.ServiceRule;
import org.merlinwood.configuration.settings.ProcessSettings;
import org.merlinwood.configuration.settings.SharedKey;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.following.ActiveConfiguration;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.PeerEndpoint;

/** Runs an entry with fake sidecars in this process and sends requests to it. Closed by the test. */
final class EntryFixture implements AutoCloseable {

    static final String SECRET = "5a".repeat(32);
    static final String TOKEN = "token-of-the-inspector";
    static final String COMPLETION = "{\"model\":\"model\",\"prompt\":\"Hydrant 7 leaks.\",\"max_tokens\":8}";
    static final String STREAMED = "{\"model\":\"model\",\"prompt\":\"Hydrant 7 leaks.\",\"stream\":true}";
    static final int BODY_BYTES = 64 * 1024;
    static final Duration TIMEOUT = Duration.ofSeconds(20);

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long POLL_INTERVAL_MILLIS = 10;

    final MetricRegistry registry = new MetricRegistry();
    final EntryProcess entry;
    private final List<FakeSidecar> sidecars;
    private final HttpClient client = HttpClient.newHttpClient();
    private volatile Optional<ActiveConfiguration> activeConfiguration;

    EntryFixture(FakeSidecar... sidecars) {
        this(20, sidecars);
    }

    EntryFixture(int retryBudgetPercent, FakeSidecar... sidecars) {
        this.sidecars = List.of(sidecars);
        this.activeConfiguration = Optional.of(configuration(1, retryBudgetPercent, sidecars));
        this.entry = new EntryProcess(
                settings(),
                new InetSocketAddress("127.0.0.1", 0),
                Optional.empty(),
                new FixedConfiguration(),
                registry);
        entry.configure(activeConfiguration.get());
        entry.start();
    }

    // ------------------------------------------------------------------ test operations

    void configure(Optional<ActiveConfiguration> changed) {
        activeConfiguration = changed;
        changed.ifPresent(entry::configure);
    }

    HttpResponse<String> post(String path, String body, String... headers) throws Exception {
        return client.send(request(path, headers).POST(text(body)).build(), HttpResponse.BodyHandlers.ofString());
    }

    CompletableFuture<HttpResponse<String>> postAsync(String path, String body, String... headers) {
        return client.sendAsync(request(path, headers).POST(text(body)).build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<Stream<String>> stream(String path, String body) throws Exception {
        return client.send(request(path).POST(text(body)).build(), HttpResponse.BodyHandlers.ofLines());
    }

    HttpResponse<String> get(String path, String... headers) throws Exception {
        return client.send(request(path, headers).GET().build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> send(HttpRequest request) throws Exception {
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Returns empty if the connection was closed without a response. */
    Optional<HttpResponse<String>> trySend(HttpRequest request) throws InterruptedException {
        try {
            return Optional.of(client.send(request, HttpResponse.BodyHandlers.ofString()));
        } catch (IOException exception) {
            return Optional.empty();
        }
    }

    HttpRequest.Builder request(String path, String... headers) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + entry.callerAddress().getPort() + path))
                .timeout(TIMEOUT)
                .setHeader("Authorization", "Bearer " + TOKEN);
        for (int index = 0; index < headers.length; index += 2) {
            builder.setHeader(headers[index], headers[index + 1]);
        }
        return builder;
    }

    static JsonNode json(HttpResponse<String> response) throws IOException {
        return MAPPER.readTree(response.body());
    }

    static JsonNode json(String text) throws IOException {
        return MAPPER.readTree(text);
    }

    static int code(HttpResponse<?> response) {
        return Integer.parseInt(
                response.headers().firstValue("Merlinwood-Result-Code").orElse("-1"));
    }

    long droppedFrames() {
        return registry.meter("entry.dropped_frames").getCount();
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        long untilNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > untilNanos) {
                throw new AssertionError("the condition was not met within " + TIMEOUT);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    @Override
    public void close() {
        client.shutdownNow();
        entry.close();
        sidecars.forEach(FakeSidecar::close);
    }

    // ------------------------------------------------------------------ configuration

    static ActiveConfiguration configuration(long revision, int retryBudgetPercent, FakeSidecar... sidecars) {
        Inventory inventory = Inventory.of(
                revision,
                Stream.of(sidecars).map(FakeSidecar::instance).toList(),
                List.of(new Model(new ModelName("model"), "1", "weights", List.of(), 8_000, 1_000)));
        return new ActiveConfiguration(inventory, rules(revision, retryBudgetPercent));
    }

    private static Rules rules(long revision, int retryBudgetPercent) {
        ServiceName ledger = new ServiceName("ledger");
        return new Rules(
                revision,
                List.of(
                        new ServiceRule(new ServiceName("summary"), ServiceKind.MODEL, 1, 1, 10_000),
                        new ServiceRule(ledger, ServiceKind.PLAIN, 1, 1, 5_000)),
                List.of(
                        new RouteRule("GET", "/hydrants/*", ledger, Repeatability.IDEMPOTENT, KeyDemand.OPTIONAL),
                        new RouteRule("POST", "/bookings", ledger, Repeatability.NON_IDEMPOTENT, KeyDemand.REQUIRED),
                        new RouteRule("POST", "/notes", ledger, Repeatability.NON_IDEMPOTENT, KeyDemand.OPTIONAL)),
                List.of(new CallerClass("inspectors", 1, 10_000, 1_000, 1, 16)),
                List.of(new CallerRule(new CallerName("inspector"), "inspectors", DigestUtils.sha256Hex(TOKEN))),
                new Limits(
                        600_000, 1_000, 1 << 20, 5_000, 10_000, retryBudgetPercent, BODY_BYTES, 30_000, 60_000, 1_000));
    }

    private static ProcessSettings settings() {
        NetworkAddress unused = new NetworkAddress("127.0.0.1", 1);
        return new ProcessSettings(
                new InstanceName("entry-1"),
                new FailureDomain("lalitpur"),
                unused,
                unused,
                List.of(),
                List.of(),
                List.of(new SharedKey(1, SECRET)));
    }

    /** Returns the last configuration set by the test, without following a service or peers. */
    private final class FixedConfiguration implements ConfigurationSource {

        @Override
        public Optional<ActiveConfiguration> current() {
            return activeConfiguration;
        }

        @Override
        public void serve(PeerEndpoint.Builder endpoint) {}

        @Override
        public void start(PeerEndpoint endpoint) {}

        @Override
        public void onPeerRevisions(PeerConnection connection, Revisions revisions) {}
    }

    private static HttpRequest.BodyPublisher text(String body) {
        return HttpRequest.BodyPublishers.ofString(body);
    }
}
