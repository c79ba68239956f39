package org.merlinwood.gateway.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.List;
import org.merlinwood.operation.port.StateDump;
import org.merlinwood.operation.port.StateSection;

/** Responds to requests for the state dump and passes all others on. Confined to the event loop. */
final class StateDumpHandler implements HttpHandler {

    private final List<StateSection> sections;
    private final HttpHandler next;

    /**
     * Creates a handler.
     *
     * @param sections the sections of the dump, whose state is read on the event loop
     * @param next handles all other requests
     */
    StateDumpHandler(List<StateSection> sections, HttpHandler next) {
        this.sections = List.copyOf(sections);
        this.next = next;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        if (exchange.getRequestPath().endsWith("/dump")) {
            sendDump(exchange);
        } else {
            next.handleRequest(exchange);
        }
    }

    private void sendDump(HttpServerExchange exchange) throws JsonProcessingException {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, StateDump.CONTENT_TYPE);
        exchange.getResponseSender().send(StateDump.write(sections));
    }
}
