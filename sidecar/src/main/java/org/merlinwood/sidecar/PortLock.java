package org.merlinwood.sidecar;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * A local port that is bound for the life of the process, so that no second sidecar runs beside the same upstream.
 *
 * <p>The system frees the port only when the process has ended: a successor can't start beside a predecessor that is
 * paused and may wake up.
 */
public final class PortLock implements AutoCloseable {

    private static final int NO_BACKLOG = 1;

    private final ServerSocket socket;

    /**
     * Takes the slot.
     *
     * @param port the local port
     * @throws UncheckedIOException if another process has it
     */
    public PortLock(int port) {
        try {
            socket = new ServerSocket();
            socket.setReuseAddress(false);
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), NO_BACKLOG);
        } catch (IOException exception) {
            throw new UncheckedIOException("port " + port + " is taken: a sidecar runs here already", exception);
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException exception) {
            throw new UncheckedIOException("the slot could not be given back", exception);
        }
    }
}
