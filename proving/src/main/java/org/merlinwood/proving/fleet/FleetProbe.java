package org.merlinwood.proving.fleet;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.function.BooleanSupplier;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.http.ConnectionUse;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.standin.engine.EngineLedger;
import org.merlinwood.standin.plain.PlainLedger;

/** HTTP client of the operator ports of a fleet and of the ledgers and commands of its stand-ins. Thread-safe. */
public final class FleetProbe implements AutoCloseable {

    private static final long CONNECT_TIMEOUT_MILLIS = 500;
    private static final long READ_TIMEOUT_MILLIS = 2_000;
    private static final long POLL_MILLIS = 25;

    /** Number of times that a ledger is asked for before the proof is given up. */
    private static final int LEDGER_ATTEMPTS = 5;

    private static final String LEDGER = "/ledger";
    private static final int OK = 200;
    private static final int STATUS_CLASS = 100;
    private static final int SUCCESS_CLASS = 2;
    private static final ObjectMapper MAPPER =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private final HttpClient client = HttpClient.create("probe", 1);

    /**
     * Reads the ledger of an engine.
     *
     * @param engine the engine
     * @return the runs that the engine has executed
     */
    public EngineLedger engineLedger(Upstream engine) {
        return read(ledger(engine), EngineLedger.class);
    }

    /**
     * Reads the ledger of a plain service.
     *
     * @param service the upstream of the service
     * @return the runs that the service has executed
     */
    public PlainLedger plainLedger(Upstream service) {
        return read(ledger(service), PlainLedger.class);
    }

    /**
     * Reads the state dump of an entry or sidecar.
     *
     * @param operatorAddress address of its operator port
     * @return the dump
     */
    public JsonNode dump(InetSocketAddress operatorAddress) {
        return read(get(operatorAddress, "/dump"), JsonNode.class);
    }

    /**
     * Sends a command to a stand-in.
     *
     * @param administration administration address of the stand-in
     * @param path path and query of the command
     * @throws IllegalStateException if the stand-in does not respond with a 2xx status
     */
    public void command(InetSocketAddress administration, String path) {
        require(send("POST", administration, path, ""), administration, path);
    }

    /**
     * Publishes a document.
     *
     * @param administration administration address of the configuration service
     * @param name {@code inventory} or {@code rules}
     * @param content text of the document
     * @return revision of the document
     */
    public long publish(InetSocketAddress administration, String name, String content) {
        String path = "/v1/documents/" + name;
        HttpResponse response = require(send("PUT", administration, path, content), administration, path);
        return read(response, JsonNode.class).path("revision").asLong();
    }

    /**
     * Replaces the list of instances that the platform serves.
     *
     * @param administration administration address of the configuration service
     * @param list the list as JSON
     */
    public void list(InetSocketAddress administration, String list) {
        require(send("PUT", administration, "/v1/instances", list), administration, "/v1/instances");
    }

    @Override
    public void close() {
        client.close();
    }

    /**
     * Tells whether a server answers at all.
     *
     * @param address its address
     * @return false if it accepts no connection or does not answer in time
     */
    public boolean answers(InetSocketAddress address) {
        return send("GET", address, "/", "").isRight();
    }

    boolean awaitStatus(InetSocketAddress address, String path, FleetProcess process, long millis) {
        return await(process, millis, () -> send("GET", address, path, "").exists(response -> response.status() == OK));
    }

    boolean awaitResponse(InetSocketAddress address, FleetProcess process, long millis) {
        return await(process, millis, () -> answers(address));
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

    /**
     * Reads a ledger. A stand-in that does not answer in time is asked again, since its ledger is as true later: the
     * times in it are its own. What it did meanwhile is printed, so that a stand-in that stands still is seen.
     */
    private HttpResponse ledger(Upstream upstream) {
        for (int attempt = 1; attempt < LEDGER_ATTEMPTS; attempt++) {
            long startMillis = SystemMillisClock.shared().monotonicMillis();
            Either<Failure, HttpResponse> response = send("GET", upstream.administration(), LEDGER, "");
            if (response.isRight()) {
                return require(response, upstream.administration(), LEDGER);
            }
            System.err.printf(
                    "  probe: the ledger of %s was not read, attempt %d, %d ms: %s%n%s%n",
                    upstream.name(),
                    attempt,
                    SystemMillisClock.shared().monotonicMillis() - startMillis,
                    response.getLeft(),
                    upstream.process().threadDump());
        }
        return get(upstream.administration(), LEDGER);
    }

    private static HttpResponse require(
            Either<Failure, HttpResponse> response, InetSocketAddress address, String path) {
        if (response.isLeft()) {
            throw new IllegalStateException(address + path + " did not answer: " + response.getLeft());
        }
        if (response.get().status() / STATUS_CLASS != SUCCESS_CLASS) {
            throw new IllegalStateException(
                    address + path + " answered " + response.get().status());
        }
        return response.get();
    }

    private Either<Failure, HttpResponse> send(String method, InetSocketAddress address, String path, String body) {
        HttpRequest request = HttpRequest.of(method, address, path, body.getBytes(StandardCharsets.UTF_8))
                .withTimeouts(CONNECT_TIMEOUT_MILLIS, READ_TIMEOUT_MILLIS)
                .withConnectionUse(ConnectionUse.FRESH);
        try {
            return client.execute(request).toCompletableFuture().get();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", exception);
        } catch (ExecutionException exception) {
            throw new IllegalStateException("the HTTP request failed unexpectedly", exception);
        }
    }

    private static <T> T read(HttpResponse response, Class<T> type) {
        try {
            return MAPPER.readValue(response.body(), type);
        } catch (IOException exception) {
            throw new UncheckedIOException("could not parse the response body", exception);
        }
    }
}
