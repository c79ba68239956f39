package org.merlinwood.sidecar;

import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/**
 * A stand-in engine that lists the given streams until they are deleted. Deletions fail while {@code confirmsDeletes}
 * is false. Closed by the test.
 */
final class FakeEngine implements AutoCloseable {

    final Set<String> streams = ConcurrentHashMap.newKeySet();
    final AtomicInteger deletes = new AtomicInteger();
    volatile boolean confirmsDeletes = true;
    private final Undertow server = Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setHandler(Handlers.routing().get("/v1/streams", this::list).delete("/v1/streams/{request}", this::delete))
            .build();

    FakeEngine() {
        server.start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getListenerInfo().getFirst().getAddress();
    }

    @Override
    public void close() {
        server.stop();
    }

    private void list(HttpServerExchange exchange) {
        String rows = streams.stream()
                .map(request -> "{\"request\":\"" + request + "\",\"kind\":\"decode\",\"pieces\":1,\"offset\":0}")
                .collect(Collectors.joining(","));
        exchange.getResponseSender().send("{\"streams\":[" + rows + "]}");
    }

    private void delete(HttpServerExchange exchange) {
        deletes.incrementAndGet();
        if (!confirmsDeletes) {
            exchange.setStatusCode(500);
            return;
        }
        streams.remove(exchange.getQueryParameters().get("request").getFirst());
        exchange.setStatusCode(204);
    }
}
