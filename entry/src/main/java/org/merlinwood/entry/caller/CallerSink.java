package org.merlinwood.entry.caller;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.entry.dispatch.ModelResponse;
import org.merlinwood.entry.dispatch.PlainResponse;
import org.merlinwood.entry.dispatch.RequestSink;
import org.merlinwood.entry.request.ClassifiedRequest;
import org.merlinwood.entry.request.ClassifiedRequest.ModelRequest;
import org.merlinwood.entry.request.Delivery;
import org.merlinwood.http.HttpHeader;

/** Writes the response of one request to its caller. Methods may be called by any thread, but not concurrently. */
final class CallerSink implements RequestSink {

    private static final int STATUS_OK = 200;

    /**
     * Upstream headers that are not forwarded, since they apply to the upstream's connection or are set by this server.
     */
    private static final Set<String> WITHHELD_HEADERS = Set.of(
            "connection", "content-length", "keep-alive", "trailer", "transfer-encoding", "upgrade", "date", "server");

    private final ClassifiedRequest request;
    private final CallerExchange exchange;
    private final MillisClock clock;
    private final AtomicBoolean streaming = new AtomicBoolean();

    CallerSink(ClassifiedRequest request, CallerExchange exchange, MillisClock clock) {
        this.request = request;
        this.exchange = exchange;
        this.clock = clock;
    }

    // ------------------------------------------------------------------ public API

    @Override
    public void tokens(List<String> tokens) {
        if (request instanceof ModelRequest modelRequest && modelRequest.delivery() == Delivery.STREAMED) {
            startStream();
            exchange.write(ResponseJson.part(modelRequest, tokens, clock.wallMillis()));
        }
    }

    @Override
    public void modelResponse(ModelResponse response) {
        ModelRequest modelRequest = (ModelRequest) request;
        switch (modelRequest.delivery()) {
            case WHOLE ->
                exchange.respond(
                        STATUS_OK,
                        ResponseHeaders.success(identifier(), ResponseHeaders.JSON),
                        ResponseJson.complete(modelRequest, response, clock.wallMillis()));
            case STREAMED -> {
                startStream();
                exchange.write(ResponseJson.lastPart(modelRequest, response, clock.wallMillis()));
                exchange.endStream();
            }
        }
    }

    @Override
    public void plainResponse(PlainResponse response) {
        List<HttpHeader> headers = response.replayed()
                ? ResponseHeaders.success(identifier(), ResponseHeaders.REPLAYED)
                : ResponseHeaders.success(identifier());
        response.headers().stream()
                .filter(header -> !WITHHELD_HEADERS.contains(header.name().toLowerCase(Locale.ROOT)))
                .filter(header -> !isReservedHeader(header))
                .forEach(headers::add);
        exchange.respond(response.status(), headers, response.body());
    }

    @Override
    public void mintedKey(IdempotencyKey key) {
        exchange.respond(
                STATUS_OK,
                ResponseHeaders.success(identifier(), ResponseHeaders.JSON, ResponseHeaders.NOT_CACHED),
                ResponseJson.key(key));
    }

    @Override
    public void failure(Failure failure) {
        if (failure.code() == ResultCode.CALLER_GONE || failure.code() == ResultCode.CALLER_TOO_SLOW) {
            exchange.abort();
        } else if (streaming.get()) {
            exchange.write(ResponseJson.failureEvent(identifier(), failure));
            exchange.endStream();
        } else {
            exchange.respond(
                    failure.code().httpStatus(),
                    ResponseHeaders.failure(identifier(), failure),
                    ResponseJson.failure(identifier(), failure));
        }
    }

    // ------------------------------------------------------------------ internals

    private void startStream() {
        if (streaming.compareAndSet(false, true)) {
            exchange.startStream(
                    STATUS_OK,
                    ResponseHeaders.success(identifier(), ResponseHeaders.EVENT_STREAM, ResponseHeaders.NOT_CACHED));
        }
    }

    private static boolean isReservedHeader(HttpHeader header) {
        return header.name().toLowerCase(Locale.ROOT).startsWith("merlinwood-");
    }

    private RequestIdentifier identifier() {
        return request.identified().accepted().identifier();
    }
}
