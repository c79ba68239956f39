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
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;

/**
 * Guards against a part of a response that is taken for the whole, or for one that was not run, since its server
 * answered a long upload at once and reset the connection while the upload was still being written.
 */
final class ResponseDuringUploadTest {

    private static final long TIMEOUT_MILLIS = 5_000;

    /** More than the buffers of both sockets hold. */
    private static final int UPLOAD_BYTES = 12 << 20;

    private final HttpClient client = HttpClient.create("test", 1);

    @AfterEach
    void closeClient() {
        client.close();
    }

    /** The server reads a part of the upload, answers with a part of a body, and resets some time later. */
    @ParameterizedTest
    @CsvSource({
        "1, 0, HTTP/1.1 200 OK~~half",
        "1, 5, HTTP/1.1 200 OK~~half",
        "1, 40, HTTP/1.1 200 OK~~half",
        "100000, 5, HTTP/1.1 200 OK~~half",
        "100000, 40, HTTP/1.1 200 OK~Connection: close~~half",
        "100000, 40, HTTP/1.0 200 OK~~half",
        "100000, 40, HTTP/1.1 200 OK~Content-Length: 8~~half",
        "100000, 40, HTTP/1.1 200 OK~Transfer-Encoding: chunked~~4~half~"
    })
    void responseThatIsBrokenOffDuringTheUploadIsNotWhole(int readBytes, long pauseMillis, String start)
            throws Exception {
        CompletableFuture<Either<Failure, HttpResponse>> result = new CompletableFuture<>();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> serve(listener, readBytes, pauseMillis, start.replace("~", "\r\n")));
            HttpRequest request = HttpRequest.of(
                            "POST",
                            new InetSocketAddress("127.0.0.1", listener.getLocalPort()),
                            "/",
                            new byte[UPLOAD_BYTES])
                    .withTimeouts(TIMEOUT_MILLIS, TIMEOUT_MILLIS)
                    .withConnectionUse(ConnectionUse.FRESH);
            client.execute(request, result::complete);
            Either<Failure, HttpResponse> ended = result.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertThat(ended.isLeft()).as("%s", ended).isTrue();
            assertThat(ended.getLeft().executionState()).isNotEqualTo(ExecutionState.NOT_RUN);
        }
    }

    private static void serve(ServerSocket listener, int readBytes, long pauseMillis, String start) {
        try (Socket socket = listener.accept()) {
            socket.getInputStream().readNBytes(readBytes);
            socket.getOutputStream().write(start.getBytes(StandardCharsets.ISO_8859_1));
            TimeUnit.MILLISECONDS.sleep(pauseMillis);
            socket.setSoLinger(true, 0);
        } catch (IOException | InterruptedException closed) {
            return;
        }
    }
}
