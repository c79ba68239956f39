package org.merlinwood.gateway.front;

import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.decision.DrainPolicy;
import org.merlinwood.gateway.request.CallerProtocol;
import org.merlinwood.http.HttpHeader;

/** Reads requests from Undertow's connections and hands them on. Runs on the event loop. */
final class FrontHandler implements HttpHandler {

    private static final String CHUNKED = "chunked";

    private final RequestDispatcher desk;
    private final CallerProtocol protocol;
    private final MillisClock clock;
    private final LongSupplier maximumBodyBytes;
    private final DrainPolicy departure;
    private final OpenRequests open;

    FrontHandler(
            RequestDispatcher desk,
            CallerProtocol protocol,
            MillisClock clock,
            LongSupplier maximumBodyBytes,
            DrainPolicy departure,
            OpenRequests open) {
        this.desk = desk;
        this.protocol = protocol;
        this.clock = clock;
        this.maximumBodyBytes = maximumBodyBytes;
        this.departure = departure;
        this.open = open;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        long arrivedMillis = clock.monotonicMillis();
        open.opened();
        exchange.addExchangeCompleteListener((done, next) -> {
            open.closed();
            next.proceed();
        });
        if (departure.draining()) {
            exchange.setPersistent(false);
        }
        UndertowCallerChannel channel = new UndertowCallerChannel(exchange);
        if (!wellFramed(exchange)) {
            exchange.setPersistent(false);
            RequestProcessor.ErrorResponses.send(channel, ResultCode.MALFORMED_REQUEST, 0);
            return;
        }
        Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(Math.toIntExact(Math.min(Integer.MAX_VALUE, maximumBodyBytes.getAsLong())));
        receiver.receiveFullBytes(
                (read, body) -> read.dispatch(SameThreadExecutor.INSTANCE, () -> {
                    channel.watch();
                    desk.accept(
                            protocol.read(
                                    read.getRequestMethod().toString(),
                                    target(read),
                                    headers(read),
                                    body,
                                    arrivedMillis),
                            channel);
                }),
                (broken, exception) -> {
                    broken.setPersistent(false);
                    ResultCode code = exception instanceof Receiver.RequestToLargeException
                            ? ResultCode.BODY_TOO_LARGE
                            : ResultCode.MALFORMED_REQUEST;
                    RequestProcessor.ErrorResponses.send(channel, code, 0);
                });
    }

    /** A body with two lengths, or with a coding besides chunks, could hide another request. */
    private static boolean wellFramed(HttpServerExchange exchange) {
        HeaderValues codings = exchange.getRequestHeaders().get(Headers.TRANSFER_ENCODING);
        HeaderValues lengths = exchange.getRequestHeaders().get(Headers.CONTENT_LENGTH);
        if (codings != null) {
            return lengths == null
                    && codings.size() == 1
                    && codings.getFirst().trim().equalsIgnoreCase(CHUNKED);
        }
        return lengths == null || lengths.size() == 1;
    }

    private static String target(HttpServerExchange exchange) {
        String query = exchange.getQueryString();
        return query.isEmpty() ? exchange.getRequestURI() : exchange.getRequestURI() + "?" + query;
    }

    private static List<HttpHeader> headers(HttpServerExchange exchange) {
        List<HttpHeader> headers = new ArrayList<>();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            values.forEach(
                    value -> headers.add(new HttpHeader(values.getHeaderName().toString(), value)));
        }
        return headers;
    }
}
