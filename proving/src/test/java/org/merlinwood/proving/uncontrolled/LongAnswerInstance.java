package org.merlinwood.proving.uncontrolled;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.merlinwood.platform.HeaderNames;

/** A plain instance with short answers, long answers ("/read/long") and long streams ("/flow/"). */
final class LongAnswerInstance implements AutoCloseable {

    private static final int LONG_ANSWER_BYTES = 6_000_000;
    private static final byte[] PIECE = new byte[16_384];
    private static final int EVENT_BYTES = 1_000;
    private static final int EVENTS = 12_000;

    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final HttpServer server;

    LongAnswerInstance(InetSocketAddress address) throws IOException {
        server = HttpServer.create(address, 200);
        server.setExecutor(executor);
        server.createContext("/", this::handle);
        server.start();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (InputStream body = exchange.getRequestBody()) {
            body.skip(Long.MAX_VALUE);
        }
        exchange.getResponseHeaders()
                .set(HeaderNames.ATTEMPT, exchange.getRequestHeaders().getFirst(HeaderNames.ATTEMPT));
        exchange.getResponseHeaders().set(HeaderNames.SIGNATURE, "instance");
        exchange.getResponseHeaders().set(HeaderNames.LOAD, "0,0,100");
        String path = exchange.getRequestURI().getPath();
        if (path.startsWith("/flow/")) {
            stream(exchange);
            return;
        }
        answer(exchange, path.contains("long") ? LONG_ANSWER_BYTES : 2);
    }

    /** Writes an answer in pieces, since the server copies what it is given at once, and many clients read late. */
    private static void answer(HttpExchange exchange, int bytes) throws IOException {
        exchange.sendResponseHeaders(200, bytes);
        try (OutputStream output = exchange.getResponseBody()) {
            for (int written = 0; written < bytes; written += PIECE.length) {
                output.write(PIECE, 0, Math.min(PIECE.length, bytes - written));
            }
        }
    }

    private static void stream(HttpExchange exchange) throws IOException {
        exchange.sendResponseHeaders(200, 0);
        try (OutputStream output = exchange.getResponseBody()) {
            for (int number = 1; number <= EVENTS; number++) {
                output.write(("id: " + number + "\ndata: " + "x".repeat(EVENT_BYTES) + "\n\n")
                        .getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }
}
