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

/** The interface of the model engine beside this process. Thread-safe. */
public final class EngineClient {

    private static final long CONTROL_TIMEOUT_MILLIS = 1_000;
    private static final long ORDER_TIMEOUT_MILLIS = 60_000;
    private static final int OK = 200;
    private static final int FIRST_ERROR = 300;
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
     * @param client sends the calls; not closed by this object
     * @param address address of the engine
     */
    public EngineClient(HttpClient client, InetSocketAddress address) {
        this.client = client;
        this.address = address;
    }

    // ------------------------------------------------------------------ public API: work

    /**
     * Starts a prefill.
     *
     * @param call what to compute
     * @param silenceMillis how long the engine may be silent, in milliseconds
     * @param listener receives the answer
     * @return cancels the call; the engine may go on until {@link #deleteStream}
     */
    public HttpStream prefill(EngineMessages.PrefillRequest call, long silenceMillis, HttpListener listener) {
        return client.send(work("/v1/prefill", call, silenceMillis), listener);
    }

    /**
     * Starts a decode.
     *
     * @param call what to generate
     * @param silenceMillis how long the engine may be silent, in milliseconds
     * @param listener receives the answer
     * @return cancels the call; the engine may go on until {@link #deleteStream}
     */
    public HttpStream decode(EngineMessages.DecodeRequest call, long silenceMillis, HttpListener listener) {
        return client.send(work("/v1/decode", call, silenceMillis), listener);
    }

    /**
     * Reads the answer of a prefill.
     *
     * @param body the body of an answer with status 200
     * @return the answer, or {@link ResultCode#UPSTREAM_MALFORMED}
     */
    public Either<Failure, EngineMessages.PrefillResponse> readPrefillResponse(byte[] body) {
        return read(body, EngineMessages.PrefillResponse.class)
                .filterOrElse(answer -> answer.handle() != null, ignored -> malformed("there is no handle"));
    }

    /**
     * Judges an answer to a prefill or decode that is not 200. The engine has then not kept anything.
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
                Failure.retryable(ResultCode.NO_CAPACITY, "the engine has no memory free", MEMORY_RETRY_MILLIS);
            default -> malformed("status " + status);
        };
    }

    // ------------------------------------------------------------------ public API: streams

    /**
     * Ends a stream and frees its memory.
     *
     * @param request identifier of the request, as the engine knows it
     * @return right once the engine has confirmed it
     */
    public CompletionStage<Either<Failure, HttpResponse>> deleteStream(String request) {
        return client.execute(control("DELETE", "/v1/streams/" + request))
                .thenApply(result -> result.filterOrElse(
                        answer -> answer.status() < FIRST_ERROR || answer.status() == NOT_FOUND,
                        answer -> malformed("status " + answer.status())));
    }

    /**
     * Lists everything that holds memory of the engine.
     *
     * @return the streams or the failure
     */
    public CompletionStage<Either<Failure, EngineMessages.Streams>> streams() {
        return client.execute(control("GET", "/v1/streams"))
                .thenApply(result ->
                        result.flatMap(EngineClient::okBody).flatMap(body -> read(body, EngineMessages.Streams.class)));
    }

    // ------------------------------------------------------------------ public API: orders

    /**
     * Reads role and models of the engine.
     *
     * @return the state or the failure
     */
    public CompletionStage<Either<Failure, EngineState>> state() {
        return client.execute(control("GET", "/v1/models"))
                .thenApply(result -> result.flatMap(EngineClient::okBody)
                        .flatMap(body -> read(body, EngineMessages.Models.class))
                        .flatMap(EngineClient::toState));
    }

    /**
     * Gives an order.
     *
     * @param order the order
     * @param fencing its number
     * @param weightStore where the engine fetches weights
     * @return true once it was obeyed; a failure carries the time to come back if the weight store has told one
     */
    public CompletionStage<Either<Failure, Boolean>> order(
            EngineOrder order, long fencing, NetworkAddress weightStore) {
        HttpRequest call = HttpRequest.of("POST", address, "/v1/orders", write(orderCall(order, fencing, weightStore)))
                .withTimeouts(CONTROL_TIMEOUT_MILLIS, ORDER_TIMEOUT_MILLIS)
                .withConnectionUse(ConnectionUse.FRESH);
        return client.execute(call).thenApply(result -> result.flatMap(EngineClient::obeyed));
    }

    // ------------------------------------------------------------------ internals: orders

    private static EngineMessages.OrderRequest orderCall(EngineOrder order, long fencing, NetworkAddress weightStore) {
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

    private static Either<Failure, Boolean> obeyed(HttpResponse answer) {
        if (answer.status() == OK) {
            return Either.right(true);
        }
        long retryAfterMillis = read(answer.body(), EngineMessages.Refusal.class)
                .map(EngineMessages.Refusal::retryAfterMillis)
                .getOrElse(0L);
        String detail = "the engine refused the order with status " + answer.status();
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
            return Either.left(malformed("the state of the engine has another shape"));
        }
    }

    // ------------------------------------------------------------------ internals

    private HttpRequest work(String path, Object body, long silenceMillis) {
        return HttpRequest.of("POST", address, path, write(body))
                .withTimeouts(HttpRequest.DEFAULT_CONNECT_TIMEOUT_MILLIS, silenceMillis)
                .withConnectionUse(ConnectionUse.FRESH);
    }

    private HttpRequest control(String method, String path) {
        return HttpRequest.of(method, address, path, new byte[0])
                .withTimeouts(CONTROL_TIMEOUT_MILLIS, CONTROL_TIMEOUT_MILLIS);
    }

    private static Either<Failure, byte[]> okBody(HttpResponse answer) {
        return answer.status() == OK
                ? Either.right(answer.body())
                : Either.left(malformed("status " + answer.status()));
    }

    private static byte[] write(Object body) {
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException("a message can't be written as JSON", exception);
        }
    }

    private static <T> Either<Failure, T> read(byte[] body, Class<T> type) {
        try {
            return Either.right(MAPPER.readValue(body, type));
        } catch (IOException exception) {
            return Either.left(malformed("it is not the JSON that was due"));
        }
    }

    private static Failure malformed(String detail) {
        return Failure.of(ResultCode.UPSTREAM_MALFORMED, "the engine's answer is malformed: " + detail)
                .withExecutionState(ExecutionState.UNKNOWN);
    }
}
