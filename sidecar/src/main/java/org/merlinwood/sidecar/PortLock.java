package org.merlinwood.sidecar;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * A lock that prevents two sidecars from running beside the same upstream. It binds a local port for the lifetime of
 * the process.
 *
 * <p>The operating system releases the port only when the process has ended, so a successor can't start while its
 * predecessor is merely suspended and may resume.
 */
public final class PortLock implements AutoCloseable {

    private static final int NO_BACKLOG = 1;

    private final ServerSocket socket;

    /**
     * Acquires the lock.
     *
     * @param port the local port
     * @throws UncheckedIOException if another process has bound the port
     */
    public PortLock(int port) {
        try {
            socket = new ServerSocket();
            socket.setReuseAddress(false);
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), NO_BACKLOG);
        } catch (IOException exception) {
            throw new UncheckedIOException(
                    "port " + port + " is already bound: another sidecar is running beside this upstream", exception);
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException exception) {
            throw new UncheckedIOException("failed to release the guard port", exception);
        }
    }
}
