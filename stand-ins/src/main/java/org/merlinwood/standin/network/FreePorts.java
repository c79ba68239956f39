package org.merlinwood.standin.network;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Reserves ports of the loopback interface below the range that the operating system uses for outgoing connections.
 * Thread-safe.
 *
 * <p>A restarted process listens on the same port as before, and documents name ports before the first start, so a port
 * has to stay reserved while nothing listens on it. The range is divided into blocks. A block belongs to the object
 * that has bound its first port, which is never returned; the other ports of the block are returned once each. So no
 * two objects return the same port at the same time, whichever process they are in. The blocks are released by
 * {@link #close()} or with the end of the process.
 */
public final class FreePorts implements AutoCloseable {

    private static final int LOWEST_PORT = 11_000;
    private static final int BLOCK_SIZE = 50;
    private static final int BLOCKS = 400;

    private final List<ServerSocket> claims = new ArrayList<>();
    private int nextPort;
    private int lastPort = -1;

    /**
     * Reserves a port that nothing is bound to and that this object has not returned before.
     *
     * @return a loopback address with the port
     * @throws IllegalStateException if all blocks belong to others
     */
    public synchronized InetSocketAddress next() {
        while (true) {
            if (nextPort > lastPort) {
                claimBlock();
            }
            int port = nextPort++;
            if (isFree(port)) {
                return address(port);
            }
        }
    }

    @Override
    public synchronized void close() {
        claims.forEach(FreePorts::release);
        claims.clear();
        lastPort = -1;
    }

    private void claimBlock() {
        int first = ThreadLocalRandom.current().nextInt(BLOCKS);
        for (int tried = 0; tried < BLOCKS; tried++) {
            int port = LOWEST_PORT + (first + tried) % BLOCKS * BLOCK_SIZE;
            Optional<ServerSocket> claim = bind(port);
            if (claim.isPresent()) {
                claims.add(claim.get());
                nextPort = port + 1;
                lastPort = port + BLOCK_SIZE - 1;
                return;
            }
        }
        throw new IllegalStateException("all blocks of ports on the loopback interface are claimed");
    }

    private static boolean isFree(int port) {
        Optional<ServerSocket> socket = bind(port);
        socket.ifPresent(FreePorts::release);
        return socket.isPresent();
    }

    /** Binds a port as strictly as a listener that doesn't reuse ports of closed connections; empty if it is taken. */
    private static Optional<ServerSocket> bind(int port) {
        try {
            ServerSocket socket = new ServerSocket();
            try {
                socket.setReuseAddress(false);
                socket.bind(address(port), 1);
                return Optional.of(socket);
            } catch (IOException taken) {
                socket.close();
                return Optional.empty();
            }
        } catch (IOException exception) {
            return Optional.empty();
        }
    }

    private static void release(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException exception) {
            throw new UncheckedIOException("could not release a port", exception);
        }
    }

    private static InetSocketAddress address(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }
}
