package org.merlinwood.proving.fleet;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.function.BooleanSupplier;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.http.ConnectionUse;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.standin.engine.EngineLedger;
import org.merlinwood.standin.plain.PlainLedger;

/** Calls to operator ports, ledgers and commands of a fleet. Thread-safe. */
public final class FleetProbe implements AutoCloseable {

    private static final long CONNECT_MILLIS = 500;
    private static final long SILENCE_MILLIS = 2_000;
    private static final long POLL_MILLIS = 25;
    private static final ObjectMapper MAPPER =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private final HttpClient client = HttpClient.create("probe", 1);

    // ------------------------------------------------------------------ public API

    /**
     * Reads the ledger of an engine.
     *
     * @param engine the engine
     * @return what it really ran
     */
    public EngineLedger engineLedger(Upstream engine) {
        return read(get(engine.administration(), "/ledger"), EngineLedger.class);
    }

    /**
     * Reads the ledger of a plain service.
     *
     * @param service the service
     * @return what it really ran
     */
    public PlainLedger plainLedger(Upstream service) {
        return read(get(service.administration(), "/ledger"), PlainLedger.class);
    }

    /**
     * Reads the dump of a process.
     *
     * @param operatorAddress its operator port
     * @return its state
     */
    public JsonNode dump(InetSocketAddress operatorAddress) {
        return read(get(operatorAddress, "/dump"), JsonNode.class);
    }

    /**
     * Gives a command to a stand-in.
     *
     * @param administration where it takes commands
     * @param path path and query
     */
    public void command(InetSocketAddress administration, String path) {
        require(send("POST", administration, path, ""), administration, path);
    }

    /**
     * Publishes a document.
     *
     * @param administration where the configuration service takes commands
     * @param name {@code inventory} or {@code rules}
     * @param content its text
     * @return its revision
     */
    public long publish(InetSocketAddress administration, String name, String content) {
        String path = "/v1/documents/" + name;
        HttpResponse answer = require(send("PUT", administration, path, content), administration, path);
        return read(answer, JsonNode.class).path("revision").asLong();
    }

    /**
     * Replaces the platform's list of instances.
     *
     * @param administration where the configuration service takes commands
     * @param list JSON of the list
     */
    public void list(InetSocketAddress administration, String list) {
        require(send("PUT", administration, "/v1/instances", list), administration, "/v1/instances");
    }

    @Override
    public void close() {
        client.close();
    }

    // ------------------------------------------------------------------ internals

    boolean awaitStatus(InetSocketAddress address, String path, FleetProcess process, long millis) {
        return await(
                process,
                millis,
                () -> send("GET", address, path, "")
                        .filter(answer -> answer.status() == 200)
                        .isPresent());
    }

    boolean awaitAnswer(InetSocketAddress address, FleetProcess process, long millis) {
        return await(process, millis, () -> send("GET", address, "/", "").isPresent());
    }

    private static boolean await(FleetProcess process, long millis, BooleanSupplier condition) {
        long deadlineMillis = SystemMillisClock.shared().monotonicMillis() + millis;
        while (SystemMillisClock.shared().monotonicMillis() < deadlineMillis && process.isAlive()) {
            if (condition.getAsBoolean()) {
                return true;
            }
            pause();
        }
        return false;
    }

    private static void pause() {
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", exception);
        }
    }

    private HttpResponse get(InetSocketAddress address, String path) {
        return require(send("GET", address, path, ""), address, path);
    }

    private static HttpResponse require(Optional<HttpResponse> answer, InetSocketAddress address, String path) {
        return answer.filter(given -> given.status() / 100 == 2)
                .orElseThrow(() ->
                        new IllegalStateException(address + path + " answered " + answer.map(HttpResponse::status)));
    }

    private Optional<HttpResponse> send(String method, InetSocketAddress address, String path, String body) {
        HttpRequest call = HttpRequest.of(method, address, path, body.getBytes(StandardCharsets.UTF_8))
                .withTimeouts(CONNECT_MILLIS, SILENCE_MILLIS)
                .withConnectionUse(ConnectionUse.FRESH);
        try {
            return client.execute(call).toCompletableFuture().get().toJavaOptional();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", exception);
        } catch (ExecutionException exception) {
            throw new IllegalStateException("the HTTP client failed", exception);
        }
    }

    private static <T> T read(HttpResponse answer, Class<T> type) {
        try {
            return MAPPER.readValue(answer.body(), type);
        } catch (IOException exception) {
            throw new UncheckedIOException("the answer is not what the interface says", exception);
        }
    }
}
