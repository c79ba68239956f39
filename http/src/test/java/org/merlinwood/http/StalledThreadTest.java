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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Guards against upstreams that count as unreachable or silent because the I/O thread of the client stood still for
 * longer than the timeout, although connection or response were there.
 */
final class StalledThreadTest {

    private static final long STALL_MILLIS = 600;
    private static final long SHORT_MILLIS = 300;
    private static final long LONG_MILLIS = 20_000;
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final XnioWorker worker;
    private final HttpClient client;

    StalledThreadTest() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(
                        OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).getMap());
        client = HttpClient.withWorker(worker);
    }

    @AfterEach
    void close() {
        client.close();
        worker.shutdownNow();
    }

    @ParameterizedTest
    @CsvSource({"true, 300, 20000", "false, 20000, 300"})
    void responseThatArrivedWhileTheThreadStoodStillIsTaken(boolean connecting, long connectMillis, long readMillis)
            throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Either<Failure, HttpResponse>> response = new CompletableFuture<>();
            Thread.ofVirtual().start(() -> respond(server, connecting ? () -> {} : this::stall));
            HttpRequest request = HttpRequest.of("GET", address(server), "/", new byte[0])
                    .withTimeouts(connectMillis, readMillis)
                    .withConnectionUse(ConnectionUse.FRESH);
            worker.getIoThread().execute(() -> {
                client.execute(request, response::complete);
                if (connecting) {
                    stand();
                }
            });
            assertThat(response.get(LONG_MILLIS, TimeUnit.MILLISECONDS).get().text())
                    .isEqualTo("ok");
        }
    }

    /**
     * The thread stands still again between the timer that has come late and the one for which it waits then, before it
     * has looked at its sockets, as it does with many timers beside load.
     */
    @Test
    void connectionIsTakenAlthoughTheThreadStandsStillTwiceBeforeItLooksAtItsSockets() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Either<Failure, HttpResponse>> response = new CompletableFuture<>();
            Thread.ofVirtual().start(() -> respond(server, () -> {}));
            HttpRequest request = HttpRequest.of("GET", address(server), "/", new byte[0])
                    .withTimeouts(SHORT_MILLIS, LONG_MILLIS)
                    .withConnectionUse(ConnectionUse.FRESH);
            worker.getIoThread().execute(() -> {
                client.execute(request, response::complete);
                worker.getIoThread().executeAfter(StalledThreadTest::stand, SHORT_MILLIS + 100, TimeUnit.MILLISECONDS);
                stand();
            });
            assertThat(response.get(LONG_MILLIS, TimeUnit.MILLISECONDS).map(HttpResponse::text))
                    .isEqualTo(Either.right("ok"));
        }
    }

    /** The timeout still ends a request behind a thread that stood still. */
    @Test
    void silentServerTimesOutAlthoughTheThreadStoodStill() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Either<Failure, HttpResponse>> response = new CompletableFuture<>();
            HttpRequest request =
                    HttpRequest.of("GET", address(server), "/", new byte[0]).withTimeouts(LONG_MILLIS, SHORT_MILLIS);
            worker.getIoThread().execute(() -> {
                client.execute(request, response::complete);
                stand();
            });
            assertThat(response.get(LONG_MILLIS, TimeUnit.MILLISECONDS)
                            .getLeft()
                            .code())
                    .isEqualTo(ResultCode.UPSTREAM_TIMEOUT);
        }
    }

    private static InetSocketAddress address(ServerSocket server) {
        return new InetSocketAddress("127.0.0.1", server.getLocalPort());
    }

    /** Responds to one request once the step has been taken. */
    private static void respond(ServerSocket server, Runnable step) {
        try (Socket socket = server.accept()) {
            socket.getInputStream().read();
            step.run();
            socket.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.ISO_8859_1));
            socket.getInputStream().readAllBytes();
        } catch (IOException closed) {
            return;
        }
    }

    /** Stops the I/O thread, and returns when it stands. */
    private void stall() {
        CompletableFuture<Void> standing = new CompletableFuture<>();
        worker.getIoThread().execute(() -> {
            standing.complete(null);
            stand();
        });
        standing.join();
    }

    private static void stand() {
        try {
            TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
