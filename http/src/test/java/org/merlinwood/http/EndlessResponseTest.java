package org.merlinwood.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;

/**
 * Guards against servers that send bytes without end: these must neither fill the memory nor occupy the I/O thread, and
 * the connection must be closed soon.
 */
final class EndlessResponseTest {

    /** Size limit of the response bodies, in bytes. */
    private static final long MAXIMUM_BODY_BYTES = 1 << 20;

    /** Bytes that the kernel takes from a server without the client having read them: both socket buffers at most. */
    private static final long SOCKET_BUFFER_BYTES = 12 << 20;

    /** Time within which a request at another server must be answered meanwhile, in milliseconds. */
    private static final long OTHER_REQUEST_LIMIT_MILLIS = 1_000;

    /** Time within which the connection must be closed if the bytes come fast, in milliseconds. */
    private static final long CLOSE_LIMIT_MILLIS = 2_000;

    private static final long READ_TIMEOUT_MILLIS = 1_000;

    /** Time from the read timeout until the connection must be closed, in milliseconds. */
    private static final long TIMEOUT_MARGIN_MILLIS = 500;

    private static final long DRIP_PAUSE_MILLIS = 20;

    private static final Executor AFTER_A_WHILE = CompletableFuture.delayedExecutor(100, TimeUnit.MILLISECONDS);

    private final HttpClient client = HttpClient.create("test", 1);

    @AfterEach
    void closeClient() {
        client.close();
    }

    @ParameterizedTest
    @CsvSource({
        "'', x",
        "'HTTP/1.1 200 ', x",
        "'HTTP/1.1 200 OK~', x",
        "'HTTP/1.1 200 OK~A: ', x",
        "'HTTP/1.1 200 OK~', A: b~",
        "'', HTTP/1.1 100 Continue~~",
        "'', HTTP/1.1 102 Processing~~",
        "HTTP/1.1 200 OK~Content-Length: 999999999999~~, x",
        "HTTP/1.1 200 OK~A: b~~, x",
        "HTTP/1.1 200 OK~Connection: close~~, x",
        "HTTP/1.0 200 OK~Connection: close~~, x",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~, 1~x~",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~, 0",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~x~, 0",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1;, x",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~7FFFFFFFFF~, x",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~0~, A: b~",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~0~A: , x"
    })
    void connectionIsClosedAndOtherRequestsAreServedWhenBytesComeFastWithoutEnd(String start, String repeated)
            throws Exception {
        try (EndlessServer server = new EndlessServer(start, repeated, 0);
                OtherServer other = new OtherServer()) {
            long startedNanos = System.nanoTime();
            CompletableFuture<Either<Failure, HttpResponse>> result = send(server.address());
            other.assertAnswers(client);
            assertThat(server.awaitClosedByClient()).isTrue();
            assertThat(millisSince(startedNanos)).isLessThan(CLOSE_LIMIT_MILLIS);
            assertThat(server.sentBytes()).isLessThan(MAXIMUM_BODY_BYTES + SOCKET_BUFFER_BYTES);
            assertThat(result.get(1, TimeUnit.SECONDS).getLeft().code())
                    .isIn(ResultCode.UPSTREAM_MALFORMED, ResultCode.CONNECTION_LOST, ResultCode.UPSTREAM_TIMEOUT);
            assertThat(client.connectionCounts().inUse()).isZero();
        }
    }

    /** The time is counted in the pauses of the server, which stand still with the process when it can't run. */
    @ParameterizedTest
    @CsvSource({
        "'HTTP/1.1 200 ', x",
        "'HTTP/1.1 200 OK~', A: b~",
        "'', HTTP/1.1 100 Continue~~",
        "HTTP/1.1 200 OK~Content-Length: 999999999999~~, x",
        "HTTP/1.1 200 OK~Connection: close~~, x",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~, 1~x~",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~x~, 0",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1;, x",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~0~, A: b~"
    })
    void collectedResponseEndsWithinTheReadTimeoutWhenBytesComeSlowlyWithoutEnd(String start, String repeated)
            throws Exception {
        try (EndlessServer server = new EndlessServer(start, repeated, DRIP_PAUSE_MILLIS)) {
            CompletableFuture<Either<Failure, HttpResponse>> result = send(server.address());
            assertThat(server.awaitClosedByClient()).isTrue();
            assertThat(server.pausedMillis()).isLessThan(READ_TIMEOUT_MILLIS + TIMEOUT_MARGIN_MILLIS);
            assertThat(result.get(1, TimeUnit.SECONDS).getLeft().code()).isEqualTo(ResultCode.UPSTREAM_TIMEOUT);
        }
    }

    /** Bytes behind a complete response must neither keep the connection open nor be read as the next response. */
    @ParameterizedTest
    @CsvSource({
        "false, HTTP/1.1 200 OK~Content-Length: 1~~a, a",
        "true, HTTP/1.1 200 OK~Content-Length: 1~~a, a",
        "false, HTTP/1.1 200 OK~Content-Length: 0~~, ''",
        "true, HTTP/1.1 200 OK~Content-Length: 0~~, ''",
        "false, HTTP/1.1 204 No Content~A: b~~, ''",
        "true, HTTP/1.1 204 No Content~A: b~~, ''",
        "true, HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~a~0~~, a"
    })
    void bytesBehindAResponseAreNotTheNextResponse(boolean nextRequestAtOnce, String complete, String body)
            throws Exception {
        String next = "HTTP/1.1 200 OK~Content-Length: 1~~b";
        try (EndlessServer server = new EndlessServer(complete + next, next, 0)) {
            CompletableFuture<Either<Failure, HttpResponse>> first = send(server.address());
            CompletableFuture<Either<Failure, HttpResponse>> second = nextRequestAtOnce
                    ? first.thenCompose(ended -> send(server.address()))
                    : first.thenComposeAsync(ended -> send(server.address()), AFTER_A_WHILE);
            assertThat(first.get(1, TimeUnit.SECONDS).get().text()).isEqualTo(body);
            assertThat(server.awaitClosedByClient()).isTrue();
            assertThat(server.sentBytes()).isLessThan(SOCKET_BUFFER_BYTES);
            assertThat(second.get(2 * READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                            .isLeft())
                    .isTrue();
        }
    }

    private CompletableFuture<Either<Failure, HttpResponse>> send(InetSocketAddress address) {
        HttpRequest request = HttpRequest.of("POST", address, "/", "question".getBytes(StandardCharsets.UTF_8))
                .withTimeouts(READ_TIMEOUT_MILLIS, READ_TIMEOUT_MILLIS)
                .withMaximumResponseBytes(MAXIMUM_BODY_BYTES);
        return client.execute(request).toCompletableFuture();
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    /** Server that answers at once. */
    private static final class OtherServer implements AutoCloseable {

        private final HttpServer server =
                HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 8);

        OtherServer() throws Exception {
            server.createContext("/", exchange -> {
                exchange.sendResponseHeaders(200, -1);
                exchange.close();
            });
            server.start();
        }

        void assertAnswers(HttpClient client) throws Exception {
            InetSocketAddress address =
                    new InetSocketAddress("127.0.0.1", server.getAddress().getPort());
            Either<Failure, HttpResponse> result = client.execute(HttpRequest.of("GET", address, "/", new byte[0]))
                    .toCompletableFuture()
                    .get(OTHER_REQUEST_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
            assertThat(result.isRight()).isTrue();
        }

        @Override
        public void close() {
            server.stop(0);
        }
    }
}
