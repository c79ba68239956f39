package org.merlinwood.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;

final class HttpClientTest {

    private static final int TIMEOUT_SECONDS = 20;
    private static final int CONCURRENT_REQUESTS = 20;
    private static final long CLOSE_DELAY_MILLIS = 200;

    private final HttpClient client = HttpClient.create("test", 2);

    @AfterEach
    void closeClient() {
        client.close();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 100_000, 2_000_000})
    void returnsTheEchoedBody(int bytes) throws Exception {
        Undertow server = start(exchange -> exchange.getRequestReceiver()
                .receiveFullBytes((receiving, body) -> receiving
                        .getResponseSender()
                        .send(new String(body, StandardCharsets.ISO_8859_1), StandardCharsets.ISO_8859_1)));
        try {
            byte[] body = "x".repeat(bytes).getBytes(StandardCharsets.ISO_8859_1);
            HttpResponse response = await(HttpRequest.of("POST", addressOf(server), "/echo", body))
                    .get();
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.body()).isEqualTo(body);
        } finally {
            server.stop();
        }
    }

    @Test
    void reportsNotRunWhenTheConnectionIsRefused() throws Exception {
        InetSocketAddress closed;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            closed = new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
        Failure failure = await(HttpRequest.of("GET", closed, "/", new byte[0])).getLeft();
        assertThat(failure.code()).isEqualTo(ResultCode.UPSTREAM_UNREACHABLE);
        assertThat(failure.executionState()).isEqualTo(ExecutionState.NOT_RUN);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n",
                "",
                "garbage without end"
            })
    void reportsAnUnknownOutcomeForATruncatedResponse(String response) throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> respondOnce(socket, response));
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", socket.getLocalPort());
            Failure failure =
                    await(HttpRequest.of("GET", address, "/", new byte[0])).getLeft();
            assertThat(failure.executionState()).isEqualTo(ExecutionState.UNKNOWN);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "false, ''",
        "true, ''",
        "false, 'HTTP/1.1 200 OK~Transfer-Encoding: chunked~~4~half~'",
        "true, 'HTTP/1.1 200 OK~Transfer-Encoding: chunked~~4~half~'",
        "false, 'HTTP/1.1 200 OK~Transfer-Encoding: chunked~~8~half'",
        "true, 'HTTP/1.1 200 OK~Content-Length: 10~~half'",
        "true, 'HTTP/1.1 200 OK~Transfer-Encoding: chunked~~'",
        "true, 'HTTP/1.1 200 OK~Transf'"
    })
    void failsWithoutWaitingForTheTimeoutWhenTheServerCloses(boolean reset, String response) throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 64, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", socket.getLocalPort());
            List<CompletableFuture<Either<Failure, HttpResponse>>> requests = new ArrayList<>();
            for (int request = 0; request < CONCURRENT_REQUESTS; request++) {
                Thread.ofVirtual().start(() -> respondAndCloseLater(socket, response.replace("~", "\r\n"), reset));
                requests.add(client.execute(
                                HttpRequest.of("GET", address, "/", new byte[0]).withTimeouts(60_000, 60_000))
                        .toCompletableFuture());
            }
            for (CompletableFuture<Either<Failure, HttpResponse>> request : requests) {
                Failure failure = request.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).getLeft();
                assertThat(failure.executionState()).isEqualTo(ExecutionState.UNKNOWN);
                assertThat(failure.code()).isNotEqualTo(ResultCode.UPSTREAM_TIMEOUT);
            }
        }
    }

    @Test
    void failsWithATimeoutWhenTheServerSendsNothing() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", socket.getLocalPort());
            HttpRequest request =
                    HttpRequest.of("GET", address, "/", new byte[0]).withTimeouts(1_000, 200);
            Failure failure = await(request).getLeft();
            assertThat(failure.code()).isEqualTo(ResultCode.UPSTREAM_TIMEOUT);
            assertThat(failure.executionState()).isEqualTo(ExecutionState.UNKNOWN);
        }
    }

    @Test
    void failsWithoutWaitingForTheTimeoutWhenAPooledConnectionWasReset() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", socket.getLocalPort());
            Thread.ofVirtual().start(() -> respondOnceAndReset(socket));
            HttpRequest request =
                    HttpRequest.of("GET", address, "/", new byte[0]).withTimeouts(60_000, 60_000);
            assertThat(await(request).get().status()).isEqualTo(200);
            assertThat(await(request).isLeft()).isTrue();
        }
    }

    private Either<Failure, HttpResponse> await(HttpRequest request) throws Exception {
        return client.execute(request).toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static void respondOnce(ServerSocket server, String response) {
        try (Socket socket = server.accept();
                OutputStream output = socket.getOutputStream()) {
            byte[] request = new byte[1024];
            if (socket.getInputStream().read(request) > 0) {
                output.write(response.getBytes(StandardCharsets.ISO_8859_1));
                output.flush();
            }
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static void respondAndCloseLater(ServerSocket server, String response, boolean reset) {
        try (Socket socket = server.accept()) {
            byte[] request = new byte[1024];
            if (socket.getInputStream().read(request) > 0) {
                socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                Thread.sleep(CLOSE_DELAY_MILLIS);
                socket.setSoLinger(reset, 0);
            }
        } catch (IOException | InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static void respondOnceAndReset(ServerSocket server) {
        try (Socket socket = server.accept()) {
            byte[] request = new byte[1024];
            server.close();
            if (socket.getInputStream().read(request) > 0) {
                socket.getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                socket.setSoLinger(true, 0);
            }
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static Undertow start(HttpHandler handler) {
        Undertow server = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setHandler(handler)
                .build();
        server.start();
        return server;
    }

    private static InetSocketAddress addressOf(Undertow server) {
        return (InetSocketAddress) server.getListenerInfo().getFirst().getAddress();
    }
}
