package org.merlinwood.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.result.Failure;

/**
 * Guards against upstreams that go on working because the connection of a cancelled or timed out request stays open
 * until they send their next bytes.
 */
final class ConnectionCloseTest {

    /** Time within which a server must see the end of the connection, in milliseconds. */
    private static final long CLOSE_LIMIT_MILLIS = 500;

    private static final long TIMEOUT_MILLIS = 20_000;
    private static final long SHORT_READ_TIMEOUT_MILLIS = 200;

    private final HttpClient client = HttpClient.create("test", 2);
    private final WaitingListener listener = new WaitingListener();

    @AfterEach
    void closeClient() {
        client.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200 OK~Content-Le",
                "HTTP/1.1 200 OK~Content-Length: 10~~",
                "HTTP/1.1 200 OK~Content-Length: 10~~half",
                "HTTP/1.1 200 OK~Connection: close~~",
                "HTTP/1.1 200 OK~Connection: close~~half",
                "HTTP/1.1 200 OK~Connection: close~Content-Length: 10~~half",
                "HTTP/1.1 200 OK~A: b~~half",
                "HTTP/1.0 200 OK~Content-Length: 10~~half",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~4~half~"
            })
    void serverSeesTheEndWhenTheRequestIsCancelledBehindAPartOfItsResponse(String part) throws Exception {
        try (SilentServer server = new SilentServer(part)) {
            HttpStream request = send(server, TIMEOUT_MILLIS);
            server.awaitPartSent();
            request.cancel();
            assertThat(server.connectionEndsWithinLimit()).isTrue();
            awaitNoOpenConnection();
        }
    }

    /** A server that closes the connection behind its response may still be at work on it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~4~half~",
                "HTTP/1.1 200 OK~Connection: close~Transfer-Encoding: chunked~~4~half~",
                "HTTP/1.1 200 OK~Connection: close~Content-Length: 10~~half",
                "HTTP/1.1 200 OK~~half",
                "HTTP/1.0 200 OK~~half"
            })
    void serverSeesTheEndWhenTheRequestIsCancelledBehindTheHeadOfItsResponse(String part) throws Exception {
        try (SilentServer server = new SilentServer(part)) {
            HttpStream request = send(server, TIMEOUT_MILLIS);
            listener.awaitBytes();
            request.cancel();
            assertThat(server.connectionEndsWithinLimit()).isTrue();
            awaitNoOpenConnection();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 200 OK~Content-Length: 10~~half"})
    void serverSeesTheEndWhenTheReadTimeoutPassesBehindAPartOfItsResponse(String part) throws Exception {
        try (SilentServer server = new SilentServer(part)) {
            send(server, SHORT_READ_TIMEOUT_MILLIS);
            server.awaitPartSent();
            assertThat(server.connectionEndsWithinLimit()).isTrue();
            awaitNoOpenConnection();
        }
    }

    /** The I/O thread counts a connection as closed just after the server can see its end. */
    private void awaitNoOpenConnection() throws InterruptedException {
        for (long waited = 0;
                waited < CLOSE_LIMIT_MILLIS && client.connectionCounts().open() > 0;
                waited += 10) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(client.connectionCounts()).isEqualTo(new ConnectionCounts(0, 0, 0));
    }

    private HttpStream send(SilentServer server, long readTimeoutMillis) {
        HttpRequest request = HttpRequest.of("POST", server.address(), "/", "question".getBytes(StandardCharsets.UTF_8))
                .withTimeouts(TIMEOUT_MILLIS, readTimeoutMillis)
                .withConnectionUse(ConnectionUse.FRESH);
        return client.send(request, listener);
    }

    /** Tells when the first bytes of the body have arrived, and ignores the response apart from that. */
    private static final class WaitingListener implements HttpListener {

        private final CountDownLatch bytesReceived = new CountDownLatch(1);

        void awaitBytes() throws InterruptedException {
            assertThat(bytesReceived.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
                    .isTrue();
        }

        @Override
        public void onHead(int status, List<HttpHeader> headers) {}

        @Override
        public void onBytes(byte[] bytes) {
            bytesReceived.countDown();
        }

        @Override
        public void onEnd() {}

        @Override
        public void onFailure(Failure failure) {}
    }

    /** Accepts one connection, sends a part of a response and nothing more, and watches for the connection's end. */
    private static final class SilentServer implements AutoCloseable {

        private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final CountDownLatch partSent = new CountDownLatch(1);
        private final CompletableFuture<Boolean> ended = new CompletableFuture<>();

        SilentServer(String part) throws IOException {
            Thread.ofVirtual().start(() -> serve(part.replace("~", "\r\n")));
        }

        InetSocketAddress address() {
            return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
        }

        void awaitPartSent() throws InterruptedException {
            assertThat(partSent.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
        }

        boolean connectionEndsWithinLimit() throws Exception {
            try {
                return ended.get(SHORT_READ_TIMEOUT_MILLIS + CLOSE_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
            } catch (TimeoutException stillOpen) {
                return false;
            }
        }

        private void serve(String part) {
            try (Socket socket = listener.accept()) {
                InputStream input = socket.getInputStream();
                byte[] buffer = new byte[1_024];
                assertThat(input.read(buffer)).isPositive();
                socket.getOutputStream().write(part.getBytes(StandardCharsets.ISO_8859_1));
                partSent.countDown();
                while (input.read(buffer) >= 0) {
                    Thread.onSpinWait();
                }
                ended.complete(true);
            } catch (IOException reset) {
                ended.complete(true);
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }
}
