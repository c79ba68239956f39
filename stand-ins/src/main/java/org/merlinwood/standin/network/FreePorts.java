package org.merlinwood.standin.network;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds free ports below the range that the operating system uses for outgoing connections. Not thread-safe.
 *
 * <p>A restarted process listens on the same port as before, so ports are chosen before the first start.
 */
public final class FreePorts {

    private static final int LOWEST_PORT = 11_000;
    private static final int HIGHEST_PORT = 31_000;
    private static final int MAXIMUM_ATTEMPTS = 2_000;

    private final Set<Integer> returnedPorts = new HashSet<>();

    /**
     * Finds a free port that this object has not returned before.
     *
     * @return a loopback address with the port
     * @throws IllegalStateException if no free port is found
     */
    public InetSocketAddress next() {
        for (int attempts = 0; attempts < MAXIMUM_ATTEMPTS; attempts++) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
            if (!returnedPorts.contains(port) && isFree(port)) {
                returnedPorts.add(port);
                return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            }
        }
        throw new IllegalStateException("no free port found on the loopback interface");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException exception) {
            return false;
        }
    }
}
