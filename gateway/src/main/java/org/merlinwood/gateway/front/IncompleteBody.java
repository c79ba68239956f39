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
        refuse(ResultCode.DRAINING, 0, "the entry exits and the body is incomplete");
    }

    /** Refuses the request, because the entry has no room for its body, or needs the room that it has. */
    void refuseForRoom() {
        refuse(ResultCode.ENTRY_FULL, ClientLimits.RETRY_MILLIS, "no room for the body, or it stopped");
    }

    private void refuse(ResultCode code, long retryAfterMillis, String reason) {
        if (isEnded() || !end()) {
            return;
        }
        log.line("refused")
                .with("path", exchange.getRequestURI())
                .with("code", code.number())
                .with("reason", reason)
                .write();
        connections
                .find(exchange)
                .ifPresent(connection -> connection.refuseIncompleteBody(exchange.getRequestContentLength()));
        exchange.setPersistent(false);
        ErrorResponses.send(channel, code, retryAfterMillis);
    }
}
