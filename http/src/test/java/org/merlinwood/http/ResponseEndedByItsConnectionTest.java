package org.merlinwood.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;

/**
 * Guards against a part of a response that is taken for the whole: a body without a length ends with its connection,
 * but a reset is no end, and a body with a length or in chunks is whole only if all of it has come.
 */
final class ResponseEndedByItsConnectionTest {

    private static final long TIMEOUT_MILLIS = 5_000;
    private static final String BODY = "half";

    private final HttpClient client = HttpClient.create("test", 1);

    @AfterEach
    void closeClient() {
        client.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK~A: b~~", "HTTP/1.1 200 OK~Connection: close~~", "HTTP/1.0 200 OK~~"})
    void bodyWithoutLengthIsWholeAtAnOrderlyEnd(String head) throws Exception {
        assertThat(exchange(head, false).map(HttpResponse::text)).isEqualTo(Either.right(BODY));
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK~A: b~~", "HTTP/1.1 200 OK~Connection: close~~", "HTTP/1.0 200 OK~~"})
    void bodyWithoutLengthIsTruncatedByAReset(String head) throws Exception {
        assertThat(exchange(head, true).getLeft().code())
                .isIn(ResultCode.UPSTREAM_TRUNCATED, ResultCode.CONNECTION_LOST);
    }

    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 200 OK~Content-Length: 10~~, false",
        "HTTP/1.1 200 OK~Content-Length: 10~~, true",
        "HTTP/1.1 200 OK~Connection: close~Content-Length: 10~~, false",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~8~, false",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~8~, true",
        "HTTP/1.1 200 OK~Connection: close~Transfer-Encoding: chunked~~8~, false"
    })
    void framedBodyIsTruncatedByTheEndOfItsConnection(String head, boolean reset) throws Exception {
        assertThat(exchange(head, reset).getLeft().code())
                .isIn(ResultCode.UPSTREAM_TRUNCATED, ResultCode.CONNECTION_LOST);
    }

    /** Sends a request to a server that answers with a head and {@link #BODY}, then ends the connection. */
    private Either<Failure, HttpResponse> exchange(String head, boolean reset) throws Exception {
        CompletableFuture<Either<Failure, HttpResponse>> result = new CompletableFuture<>();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> serve(listener, head.replace("~", "\r\n"), reset));
            HttpRequest request = HttpRequest.of(
                            "POST",
                            new InetSocketAddress("127.0.0.1", listener.getLocalPort()),
                            "/",
                            "question".getBytes(StandardCharsets.UTF_8))
                    .withTimeouts(TIMEOUT_MILLIS, TIMEOUT_MILLIS)
                    .withConnectionUse(ConnectionUse.FRESH);
            client.execute(request, result::complete);
            return result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private static void serve(ServerSocket listener, String head, boolean reset) {
        try (Socket socket = listener.accept()) {
            InputStream input = socket.getInputStream();
            StringBuilder received = new StringBuilder();
            while (!received.toString().endsWith("question")) {
                received.append((char) input.read());
            }
            socket.getOutputStream().write((head + BODY).getBytes(StandardCharsets.ISO_8859_1));
            if (reset) {
                TimeUnit.MILLISECONDS.sleep(50);
                socket.setSoLinger(true, 0);
            }
        } catch (IOException | InterruptedException closed) {
            return;
        }
    }
}
