package org.merlinwood.sidecar;

import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/**
 * A stand-in engine that lists the given streams until they are deleted. Deletions fail while {@code confirmsDeletes}
 * is false. It sends the last line of a decode response at once, and ends the response once the test allows it. Closed
 * by the test.
 */
final class FakeEngine implements AutoCloseable {

    /** Last line of a response without tokens. */
    private static final String END_LINE = "{\"end\":true,\"length\":0,\"finishReason\":\"stop\"}\n";

    final Set<String> streams = ConcurrentHashMap.newKeySet();
    final AtomicInteger deletes = new AtomicInteger();
    final CountDownLatch endOfResponseAllowed = new CountDownLatch(1);
    volatile boolean confirmsDeletes = true;
    private final Undertow server = Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setHandler(Handlers.routing()
                    .get("/v1/streams", this::list)
                    .delete("/v1/streams/{request}", this::delete)
                    .post("/v1/decode", new BlockingHandler(this::decode)))
            .build();

    FakeEngine() {
        server.start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getListenerInfo().getFirst().getAddress();
    }

    @Override
    public void close() {
        endOfResponseAllowed.countDown();
        server.stop();
    }

    private void list(HttpServerExchange exchange) {
        String rows = streams.stream()
                .map(request -> "{\"request\":\"" + request + "\",\"kind\":\"decode\",\"pieces\":1,\"offset\":0}")
                .collect(Collectors.joining(","));
        exchange.getResponseSender().send("{\"streams\":[" + rows + "]}");
    }

    private void decode(HttpServerExchange exchange) throws IOException, InterruptedException {
        OutputStream output = exchange.getOutputStream();
        output.write(END_LINE.getBytes(StandardCharsets.UTF_8));
        output.flush();
        endOfResponseAllowed.await();
        output.close();
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
