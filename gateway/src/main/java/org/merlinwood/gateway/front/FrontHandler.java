package org.merlinwood.gateway.front;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.util.ArrayList;
import java.util.List;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.decision.DrainPolicy;
import org.merlinwood.gateway.request.CallerProtocol;
import org.merlinwood.http.BodyReader;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.operation.log.DecisionLog;

/** Reads requests from Undertow connections and passes them to the dispatcher. Runs on the event loop. */
final class FrontHandler implements HttpHandler {

    private static final String CHUNKED = "chunked";

    private final RequestDispatcher dispatcher;
    private final CallerProtocol protocol;
    private final MillisClock clock;
    private final ClientLimits limits;
    private final ConnectionReuse connectionReuse;
    private final ForcedExitGuard forcedExitGuard;
    private final OpenRequests openRequests;
    private final CallerConnections connections;
    private final DecisionLog log;

    FrontHandler(
            RequestDispatcher dispatcher,
            CallerProtocol protocol,
            MillisClock clock,
            ClientLimits limits,
            DrainPolicy drainPolicy,
            ForcedExitGuard forcedExitGuard,
            OpenRequests openRequests,
            CallerConnections connections,
            DecisionLog log) {
        this.dispatcher = dispatcher;
        this.protocol = protocol;
        this.clock = clock;
        this.limits = limits;
        this.connectionReuse = new ConnectionReuse(drainPolicy);
        this.forcedExitGuard = forcedExitGuard;
        this.openRequests = openRequests;
        this.connections = connections;
        this.log = log;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        long arrivedMillis = clock.monotonicMillis();
        openRequests.increment();
        CallerConnection connection = connections.find(exchange).orElseThrow();
        exchange.addExchangeCompleteListener((completed, next) -> {
            openRequests.decrement();
            connectionReuse.applyAtEnd(completed);
            connections.completeRequest(completed);
            next.proceed();
        });
        UndertowCallerChannel channel = new UndertowCallerChannel(exchange, connectionReuse, connection);
        if (!hasValidFraming(exchange)) {
            connection.startRequest(connection::close);
            connection.refuseIncompleteBody(exchange.getRequestContentLength());
            exchange.setPersistent(false);
            ErrorResponses.send(channel, ResultCode.MALFORMED_REQUEST, 0);
            return;
        }
        readBody(exchange, connection, channel, arrivedMillis);
    }

    private void readBody(
            HttpServerExchange exchange,
            CallerConnection connection,
            UndertowCallerChannel channel,
            long arrivedMillis) {
        IncompleteBody incompleteBody = new IncompleteBody(exchange, channel, connections, log);
        BodyReader reader = new BodyReader(
                exchange,
                connection.holder(),
                connection::receiveBody,
                limits.maximumBodyBytes().getAsLong(),
                incompleteBody::isEnded,
                body -> {
                    if (incompleteBody.end()) {
                        dispatch(exchange, body, connection, channel, arrivedMillis);
                    }
                },
                code -> {
                    if (incompleteBody.end()) {
                        connection.refuseIncompleteBody(exchange.getRequestContentLength());
                        exchange.setPersistent(false);
                        ErrorResponses.send(channel, code, 0);
                    }
                });
        connection.startRequest(() -> {
            if (!incompleteBody.isEnded()) {
                reader.abandon();
                incompleteBody.refuseForRoom();
            }
        });
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            if (limits.mayRead(exchange.getRequestContentLength())) {
                reader.start();
            } else {
                incompleteBody.refuseForRoom();
            }
            if (!incompleteBody.isEnded()) {
                forcedExitGuard.add(incompleteBody::isEnded, incompleteBody::refuse);
            }
        });
    }

    private void dispatch(
            HttpServerExchange received,
            byte[] body,
            CallerConnection connection,
            UndertowCallerChannel channel,
            long arrivedMillis) {
        connection.completeBody();
        channel.watchForDisconnect();
        dispatcher.dispatch(
                protocol.read(
                        received.getRequestMethod().toString(),
                        target(received),
                        headers(received),
                        body,
                        arrivedMillis),
                channel);
    }

    /**
     * Checks the framing of the body. A body with two lengths, or with a transfer coding other than chunked, is
     * rejected, since it could hide a second request (request smuggling).
     */
    private static boolean hasValidFraming(HttpServerExchange exchange) {
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
