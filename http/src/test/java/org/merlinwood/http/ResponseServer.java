package org.merlinwood.http;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.merlinwood.core.result.Failure;

/**
 * Server of a test whose first response consists of given bytes, after which it ends that connection in order a moment
 * later. All other connections get {@link #SOUND_BODY}. Thread-safe.
 */
final class ResponseServer implements AutoCloseable {

    /** Body of all responses but the first one. */
    static final String SOUND_BODY = "sound";

    private static final long TIMEOUT_MILLIS = 5_000;

    /** Time from the last byte of the first response to the end of its connection, in milliseconds. */
    private static final long END_DELAY_MILLIS = 30;

    private static final int REQUEST_BYTES = 4_096;

    private final ServerSocket listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());

    /**
     * Creates a server and starts it.
     *
     * @param response the first response; a tilde stands for the end of a line
     * @param pieceBytes number of bytes in one write
     */
    ResponseServer(String response, int pieceBytes) throws IOException {
        Thread.ofVirtual().start(() -> serveAll(bytes(response), pieceBytes));
    }

    /** Sends a request and waits for its response or failure. */
    Either<Failure, HttpResponse> exchange(HttpClient client, String method) throws Exception {
        HttpRequest request = HttpRequest.of(
                        method, new InetSocketAddress("127.0.0.1", listener.getLocalPort()), "/", new byte[0])
                .withTimeouts(TIMEOUT_MILLIS, TIMEOUT_MILLIS);
        CompletableFuture<Either<Failure, HttpResponse>> result = new CompletableFuture<>();
        client.execute(request, result::complete);
        return result.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void serveAll(byte[] firstResponse, int pieceBytes) {
        try {
            Socket first = listener.accept();
            Thread.ofVirtual().start(() -> serveFirst(first, firstResponse, pieceBytes));
            while (true) {
                Socket other = listener.accept();
                Thread.ofVirtual().start(() -> serveOther(other));
            }
        } catch (IOException closed) {
            return;
        }
    }

    private static void serveFirst(Socket socket, byte[] response, int pieceBytes) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = socket.getInputStream();
            input.read(new byte[REQUEST_BYTES]);
            OutputStream output = socket.getOutputStream();
            for (int start = 0; start < response.length; start += pieceBytes) {
                output.write(response, start, Math.min(pieceBytes, response.length - start));
            }
            TimeUnit.MILLISECONDS.sleep(END_DELAY_MILLIS);
            socket.shutdownOutput();
            input.readAllBytes();
        } catch (IOException | InterruptedException closed) {
            return;
        }
    }

    private static void serveOther(Socket socket) {
        try (socket) {
            socket.getInputStream().read(new byte[REQUEST_BYTES]);
            socket.getOutputStream()
                    .write(bytes("HTTP/1.1 200 OK~Content-Length: " + SOUND_BODY.length() + "~~" + SOUND_BODY));
            socket.getInputStream().readAllBytes();
        } catch (IOException closed) {
            return;
        }
    }

    private static byte[] bytes(String text) {
        return text.replace("~", "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
