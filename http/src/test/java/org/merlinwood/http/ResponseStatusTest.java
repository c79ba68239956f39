package org.merlinwood.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;

/** Guards against a faulty server whose number that is no status reaches callers as that of a response. */
final class ResponseStatusTest {

    private static final long TIMEOUT_MILLIS = 5_000;

    private final HttpClient client = HttpClient.create("test", 1);

    @AfterEach
    void closeClient() {
        client.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "000",
                "0",
                "00",
                "099",
                "20",
                "-200",
                "+200",
                "101",
                "199",
                "600",
                "700",
                "999",
                "1000",
                "2000",
                "20000",
                "abc",
                "2xx",
                "''",
                "99999999999"
            })
    void responseWithoutAStatusIsAFailure(String status) throws Exception {
        Either<Failure, HttpResponse> result = exchange(status.replace("'", ""));
        assertThat(result.isLeft()).as("%s", result).isTrue();
        assertThat(result.getLeft().code())
                .isIn(ResultCode.UPSTREAM_MALFORMED, ResultCode.CONNECTION_LOST, ResultCode.UPSTREAM_TRUNCATED);
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 201, 299, 300, 399, 400, 418, 499, 500, 503, 599})
    void responseWithAStatusIsPassedOn(int status) throws Exception {
        assertThat(exchange(String.valueOf(status)).map(HttpResponse::status)).isEqualTo(Either.right(status));
    }

    private Either<Failure, HttpResponse> exchange(String status) throws Exception {
        CompletableFuture<Either<Failure, HttpResponse>> result = new CompletableFuture<>();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> serve(listener, status));
            HttpRequest request = HttpRequest.of(
                            "GET", new InetSocketAddress("127.0.0.1", listener.getLocalPort()), "/", new byte[0])
                    .withTimeouts(TIMEOUT_MILLIS, TIMEOUT_MILLIS);
            client.execute(request, result::complete);
            return result.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private static void serve(ServerSocket listener, String status) {
        try (Socket socket = listener.accept()) {
            String response = "HTTP/1.1 " + status + " OK\r\nContent-Length: 4\r\n\r\nbody";
            socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
            TimeUnit.MILLISECONDS.sleep(100);
            socket.shutdownOutput();
            socket.getInputStream().readAllBytes();
        } catch (IOException | InterruptedException closed) {
            return;
        }
    }
}
