package org.merlinwood.http;

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
import java.util.concurrent.atomic.AtomicLong;

/**
 * Server of a test whose response to its first connection begins with given bytes and then repeats others until the
 * client closes the connection, or until {@link #GIVE_UP_BYTES} or {@link #GIVE_UP_MILLIS} have passed. Thread-safe.
 */
final class EndlessServer implements AutoCloseable {

    /** Number of bytes after which the server stops by itself. */
    static final long GIVE_UP_BYTES = 256L << 20;

    /** Time after which the server stops by itself, in milliseconds. */
    static final long GIVE_UP_MILLIS = 6_000;

    /** Size of one write to the connection, in bytes, unless the server pauses between writes. */
    private static final int WRITE_BYTES = 16 << 10;

    private final ServerSocket listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong pausedMillis = new AtomicLong();
    private final CompletableFuture<Boolean> closedByClient = new CompletableFuture<>();

    /**
     * Creates a server.
     *
     * @param start the start of the response; a tilde stands for the end of a line
     * @param repeated what follows it again and again
     * @param pauseMillis time between two repetitions, in milliseconds; 0 sends as fast as the client reads
     */
    EndlessServer(String start, String repeated, long pauseMillis) throws IOException {
        String unit = decode(repeated);
        String block = pauseMillis > 0 ? unit : unit.repeat(Math.max(1, WRITE_BYTES / unit.length()));
        Thread.ofVirtual().start(() -> serve(bytes(decode(start)), bytes(block), pauseMillis));
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
    }

    /** Returns whether the client closed the connection before the server gave up. Waits for either. */
    boolean awaitClosedByClient() throws Exception {
        return closedByClient.get(2 * GIVE_UP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the bytes that were sent, with those that the client has not read. */
    long sentBytes() {
        return sentBytes.get();
    }

    /**
     * Returns how long the server has paused between its bytes, in milliseconds: all but the time from the first byte
     * to the end, if it pauses, unless its process got no processor meanwhile.
     */
    long pausedMillis() {
        return pausedMillis.get();
    }

    private void serve(byte[] start, byte[] block, long pauseMillis) {
        long startedNanos = System.nanoTime();
        try (Socket socket = listener.accept()) {
            InputStream input = socket.getInputStream();
            if (input.read(new byte[WRITE_BYTES]) < 0) {
                return;
            }
            OutputStream output = socket.getOutputStream();
            output.write(start);
            while (sentBytes.get() < GIVE_UP_BYTES
                    && System.nanoTime() - startedNanos < TimeUnit.MILLISECONDS.toNanos(GIVE_UP_MILLIS)) {
                output.write(block);
                sentBytes.addAndGet(block.length);
                TimeUnit.MILLISECONDS.sleep(pauseMillis);
                pausedMillis.addAndGet(pauseMillis);
            }
            closedByClient.complete(false);
        } catch (IOException reset) {
            closedByClient.complete(true);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private static String decode(String text) {
        return text.replace("~", "\r\n");
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
