package org.merlinwood.sidecar.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletionStage;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.order.EngineOrder;
import org.merlinwood.decision.order.EngineState;
import org.merlinwood.http.ConnectionUse;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpListener;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.http.HttpStream;

/** HTTP client of the model engine that this sidecar serves. Thread-safe. */
public final class EngineClient {

    private static final long CONTROL_TIMEOUT_MILLIS = 1_000;
    private static final long ORDER_TIMEOUT_MILLIS = 60_000;
    private static final int OK = 200;
    private static final int FIRST_ERROR_STATUS = 300;
    private static final int NOT_FOUND = 404;
    private static final int FAILED_DEPENDENCY = 424;
    private static final int UNAVAILABLE = 503;
    private static final long MEMORY_RETRY_MILLIS = 200;
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private final HttpClient client;
    private final InetSocketAddress address;

    /**
     * Creates a client of one engine.
     *
     * @param client sends the requests; not closed by this object
     * @param address address of the engine
     */
    public EngineClient(HttpClient client, InetSocketAddress address) {
        this.client = client;
        this.address = address;
    }

    /**
     * Sends a prefill request.
     *
     * @param request the request
     * @param timeoutMillis time limit of the complete response, in milliseconds
     * @param listener receives the response
     * @return handle for cancelling the request; the engine may continue until {@link #deleteStream}
     */
    public HttpStream prefill(EngineMessages.PrefillRequest request, long timeoutMillis, HttpListener listener) {
        HttpRequest workRequest = workRequest("/v1/prefill", request, timeoutMillis);
        return client.send(workRequest.withResponseTimeout(timeoutMillis), listener);
    }

    /**
     * Sends a decode request.
     *
     * @param request the request
     * @param readTimeoutMillis longest pause between two parts of the response, in milliseconds
     * @param listener receives the response
     * @return handle for cancelling the request; the engine may continue until {@link #deleteStream}
     */
    public HttpStream decode(EngineMessages.DecodeRequest request, long readTimeoutMillis, HttpListener listener) {
        return client.send(workRequest("/v1/decode", request, readTimeoutMillis), listener);
    }

    /**
     * Parses the response to a prefill request.
     *
     * @param body the body of a response with status 200
     * @return the response, or a failure with {@link ResultCode#UPSTREAM_MALFORMED}
     */
    public Either<Failure, EngineMessages.PrefillResponse> readPrefillResponse(byte[] body) {
        return read(body, EngineMessages.PrefillResponse.class)
                .filterOrElse(response -> response.handle() != null, ignored -> malformed("the handle is missing"));
    }

    /**
     * Converts the status of a prefill or decode response other than 200 to a failure. The engine holds no memory for
     * such a request.
     *
     * @param status the HTTP status
     * @return the failure
     */
    public static Failure refusal(int status) {
        return switch (status) {
            case NOT_FOUND -> Failure.of(ResultCode.UNKNOWN_MODEL, "the engine has not loaded the model");
            case FAILED_DEPENDENCY ->
                Failure.retryable(ResultCode.TRANSFER_FAILED, "the engine could not import the KV cache", 0);
            case UNAVAILABLE ->
                Failure.retryable(ResultCode.NO_CAPACITY, "the engine has no free memory", MEMORY_RETRY_MILLIS);
            default -> malformed("status " + status);
        };
    }

    /**
     * Deletes a stream and releases its memory.
     *
     * @param request identifier of the request, as the engine knows it
     * @return the confirmation of the engine, or the failure; a stream that the engine doesn't know counts as confirmed
     */
    public CompletionStage<Either<Failure, HttpResponse>> deleteStream(String request) {
        return client.execute(controlRequest("DELETE", "/v1/streams/" + request))
                .thenApply(result -> result.filterOrElse(
                        response -> response.status() < FIRST_ERROR_STATUS || response.status() == NOT_FOUND,
                        response -> malformed("status " + response.status())));
    }

    /**
     * Lists the streams and retained results that hold memory of the engine.
     *
     * @return the streams or the failure
     */
    public CompletionStage<Either<Failure, EngineMessages.Streams>> streams() {
        return client.execute(controlRequest("GET", "/v1/streams"))
                .thenApply(result ->
                        result.flatMap(EngineClient::okBody).flatMap(body -> read(body, EngineMessages.Streams.class)));
    }

    /**
     * Requests role and loaded models of the engine.
     *
     * @return the state or the failure
     */
    public CompletionStage<Either<Failure, EngineState>> state() {
        return client.execute(controlRequest("GET", "/v1/models"))
                .thenApply(result -> result.flatMap(EngineClient::okBody)
                        .flatMap(body -> read(body, EngineMessages.Models.class))
                        .flatMap(EngineClient::toState));
    }

    /**
     * Sends an order.
     *
     * @param order the order
     * @param fencing its fencing number
     * @param weightStore address from which the engine fetches weights
     * @return true once the engine has carried it out, or the failure, with the retry delay if the engine sent one
     */
    public CompletionStage<Either<Failure, Boolean>> order(
            EngineOrder order, long fencing, NetworkAddress weightStore) {
        HttpRequest request = HttpRequest.of(
                        "POST", address, "/v1/orders", write(orderRequest(order, fencing, weightStore)))
                .withTimeouts(CONTROL_TIMEOUT_MILLIS, ORDER_TIMEOUT_MILLIS)
                .withConnectionUse(ConnectionUse.FRESH);
        return client.execute(request).thenApply(result -> result.flatMap(EngineClient::toOrderResult));
    }

    private static EngineMessages.OrderRequest orderRequest(
            EngineOrder order, long fencing, NetworkAddress weightStore) {
        String store = weightStore.toString();
        return switch (order) {
            case EngineOrder.LoadModel load ->
                new EngineMessages.OrderRequest(
                        fencing, "LOAD_MODEL", load.model().value(), load.version(), load.weights(), null, null, store);
            case EngineOrder.LoadAdapter load ->
                new EngineMessages.OrderRequest(
                        fencing, "LOAD_ADAPTER", load.model().value(), null, null, load.adapter(), null, store);
            case EngineOrder.UnloadModel unload ->
                new EngineMessages.OrderRequest(
                        fencing, "UNLOAD_MODEL", unload.model().value(), null, null, null, null, store);
            case EngineOrder.ChangeRole change ->
                new EngineMessages.OrderRequest(
                        fencing,
                        "CHANGE_ROLE",
                        null,
                        null,
                        null,
                        null,
                        change.role().name(),
                        store);
        };
    }

    private static Either<Failure, Boolean> toOrderResult(HttpResponse response) {
        if (response.status() == OK) {
            return Either.right(true);
        }
        long retryAfterMillis = read(response.body(), EngineMessages.Refusal.class)
                .map(EngineMessages.Refusal::retryAfterMillis)
                .getOrElse(0L);
        String detail = "the engine refused the order with status " + response.status();
        return Either.left(
                retryAfterMillis > 0
                        ? Failure.retryable(ResultCode.NO_CAPACITY, detail, retryAfterMillis)
                        : Failure.of(ResultCode.UPSTREAM_MALFORMED, detail));
    }

    private static Either<Failure, EngineState> toState(EngineMessages.Models models) {
        try {
            return Either.right(new EngineState(
                    InstanceRole.valueOf(models.role()),
                    models.highestFencing(),
                    models.models().stream()
                            .map(model -> new EngineState.LoadedModel(
                                    new ModelName(model.name()), model.version(), model.adapters()))
                            .toList()));
        } catch (IllegalArgumentException | NullPointerException exception) {
            return Either.left(malformed("the state of the engine has an unexpected format"));
        }
    }

    private HttpRequest workRequest(String path, Object body, long readTimeoutMillis) {
        return HttpRequest.of("POST", address, path, write(body))
                .withTimeouts(HttpRequest.DEFAULT_CONNECT_TIMEOUT_MILLIS, readTimeoutMillis)
                .withConnectionUse(ConnectionUse.FRESH);
    }

    private HttpRequest controlRequest(String method, String path) {
        return HttpRequest.of(method, address, path, new byte[0])
                .withTimeouts(CONTROL_TIMEOUT_MILLIS, CONTROL_TIMEOUT_MILLIS);
    }

    private static Either<Failure, byte[]> okBody(HttpResponse response) {
        return response.status() == OK
                ? Either.right(response.body())
                : Either.left(malformed("status " + response.status()));
    }

    private static byte[] write(Object body) {
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException("failed to serialize a message as JSON", exception);
        }
    }

    private static <T> Either<Failure, T> read(byte[] body, Class<T> type) {
        try {
            return Either.right(MAPPER.readValue(body, type));
        } catch (IOException exception) {
            return Either.left(malformed("the body is not JSON of the expected format"));
        }
    }

    private static Failure malformed(String detail) {
        return Failure.of(ResultCode.UPSTREAM_MALFORMED, "malformed response of the engine: " + detail)
                .withExecutionState(ExecutionState.UNKNOWN);
    }
}
