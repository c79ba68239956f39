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
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.result.Failure;

/** Guards against a response that a server writes once more, and that is taken for that to the next request. */
final class SurplusResponseTest {

    private static final long TIMEOUT_MILLIS = 5_000;

    /** Time between the two requests, in milliseconds. */
    private static final long PAUSE_MILLIS = 60;

    private final HttpClient client = HttpClient.create("test", 1);

    @AfterEach
    void closeClient() {
        client.close();
    }

    /** The server writes each response twice, the second time some milliseconds later. */
    @ParameterizedTest
    @ValueSource(longs = {0, 4, 20})
    void requestGetsItsOwnResponse(long laterMillis) throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> accept(listener, laterMillis));
            for (int number = 0; number < 5; number++) {
                assertThat(exchange(listener.getLocalPort(), number).map(HttpResponse::text))
                        .isEqualTo(Either.right("/" + number));
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
        }
    }

    private Either<Failure, HttpResponse> exchange(int port, int number) throws Exception {
        CompletableFuture<Either<Failure, HttpResponse>> result = new CompletableFuture<>();
        HttpRequest request = HttpRequest.of("GET", new InetSocketAddress("127.0.0.1", port), "/" + number, new byte[0])
                .withTimeouts(TIMEOUT_MILLIS, TIMEOUT_MILLIS);
        client.execute(request, result::complete);
        return result.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void accept(ServerSocket listener, long laterMillis) {
        try {
            while (true) {
                Socket socket = listener.accept();
                Thread.ofVirtual().start(() -> serve(socket, laterMillis));
            }
        } catch (IOException closed) {
            return;
        }
    }

    private static void serve(Socket socket, long laterMillis) {
        try (socket) {
            InputStream input = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            int next;
            while ((next = input.read()) >= 0) {
                head.append((char) next);
                if (head.toString().endsWith("\r\n\r\n")) {
                    String path = head.toString().split(" ", -1)[1];
                    head.setLength(0);
                    byte[] response = ("HTTP/1.1 200 OK\r\nContent-Length: " + path.length() + "\r\n\r\n" + path)
                            .getBytes(StandardCharsets.ISO_8859_1);
                    socket.getOutputStream().write(response);
                    TimeUnit.MILLISECONDS.sleep(laterMillis);
                    socket.getOutputStream().write(response);
                }
            }
        } catch (IOException | InterruptedException closed) {
            return;
        }
    }
}
