package org.merlinwood.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.Undertow;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Field;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.IoUtils;

/** Guards against a connection that keeps something of each of its requests, until the process has no memory left. */
final class ConnectionCloseWatchTest {

    private static final int REQUESTS = 10_000;
    private static final long WAIT_MILLIS = 5_000;
    private static final String BODY_END = "\r\n\r\n";

    /** Number of listeners of the connection at the first request, and at the last one. */
    private final AtomicInteger firstCount = new AtomicInteger();

    private final AtomicInteger lastCount = new AtomicInteger();
    private final AtomicInteger closedRequests = new AtomicInteger();
    private final CountDownLatch closed = new CountDownLatch(1);
    private Undertow server;

    @BeforeEach
    void start() {
        server = Undertow.builder()
                .setIoThreads(1)
                .addHttpListener(0, "127.0.0.1", this::handle)
                .build();
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop();
    }

    /** Answers each request but one for {@code /closed}, whose connection it closes. */
    private void handle(HttpServerExchange exchange) throws ReflectiveOperationException {
        ConnectionCloseWatch.watch(exchange, () -> {
            closedRequests.incrementAndGet();
            closed.countDown();
        });
        lastCount.set(closeListeners(exchange));
        firstCount.compareAndSet(0, lastCount.get());
        if (exchange.getRequestPath().equals("/closed")) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        exchange.setResponseContentLength(0);
        exchange.endExchange();
    }

    /** Returns the number of listeners that the server keeps for the connection. */
    private static int closeListeners(HttpServerExchange exchange) throws ReflectiveOperationException {
        Field field = AbstractServerConnection.class.getDeclaredField("closeListeners");
        field.setAccessible(true);
        return ((Collection<?>) field.get(exchange.getConnection())).size();
    }

    private Socket connect() throws IOException {
        InetSocketAddress address =
                (InetSocketAddress) server.getListenerInfo().getFirst().getAddress();
        return new Socket(address.getAddress(), address.getPort());
    }

    private static void send(Socket socket, String path) throws IOException {
        socket.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith(BODY_END)) {
            head.append((char) input.read());
        }
    }

    @Test
    void keptConnectionHasOneListenerWhateverTheNumberOfItsRequests() throws Exception {
        try (Socket socket = connect()) {
            for (int request = 0; request < REQUESTS; request++) {
                send(socket, "/");
                readHead(socket.getInputStream());
            }
        }
        assertThat(firstCount).hasPositiveValue();
        assertThat(lastCount).hasValue(firstCount.get());
        assertThat(closedRequests).hasValue(0);
    }

    @Test
    void onlyTheRequestInProgressIsToldOfTheEndOfItsConnection() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "/");
            readHead(socket.getInputStream());
            send(socket, "/closed");
            assertThat(closed.await(WAIT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
        }
        assertThat(closedRequests).hasValue(1);
    }
}
