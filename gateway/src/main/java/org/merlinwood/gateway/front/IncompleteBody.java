package org.merlinwood.gateway.front;

import io.undertow.server.HttpServerExchange;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.operation.log.DecisionLog;

/** A request whose body is being read. Not run yet, so it can be refused. Confined to the event loop. */
final class IncompleteBody {

    private final HttpServerExchange exchange;
    private final UndertowCallerChannel channel;
    private final CallerConnections connections;
    private final DecisionLog log;
    private boolean ended;

    IncompleteBody(
            HttpServerExchange exchange,
            UndertowCallerChannel channel,
            CallerConnections connections,
            DecisionLog log) {
        this.exchange = exchange;
        this.channel = channel;
        this.connections = connections;
        this.log = log;
    }

    /** Returns whether the body has been read or can't be, or the request has been refused. */
    boolean isEnded() {
        return ended || exchange.isComplete();
    }

    /**
     * Ends the reading of the body.
     *
     * @return false if it had ended before; the request has its answer then
     */
    boolean end() {
        boolean first = !ended;
        ended = true;
        return first;
    }

    /** Refuses the request, because the entry is about to exit. */
    void refuse() {
        if (isEnded() || !end()) {
            return;
        }
        log.line("refused")
                .with("path", exchange.getRequestURI())
                .with("code", ResultCode.DRAINING.number())
                .with("reason", "the entry exits and the body is incomplete")
                .write();
        connections.find(exchange).ifPresent(CallerConnection::refuseIncompleteBody);
        exchange.setPersistent(false);
        RequestProcessor.ErrorResponses.send(channel, ResultCode.DRAINING, 0);
    }
}
