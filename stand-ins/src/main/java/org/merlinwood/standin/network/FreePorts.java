package org.merlinwood.standin.network;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds ports that are free now, below those that the system gives to outgoing connections. Used by one thread.
 *
 * <p>A process that is started again listens on the same port, so ports have to be known before.
 */
public final class FreePorts {

    private static final int LOWEST = 11_000;
    private static final int HIGHEST = 31_000;
    private static final int MAXIMUM_TRIES = 2_000;

    private final Set<Integer> taken = new HashSet<>();

    /**
     * Finds a port that was not returned before.
     *
     * @return an address of the loopback interface whose port is free
     * @throws IllegalStateException if none is found
     */
    public InetSocketAddress next() {
        for (int tries = 0; tries < MAXIMUM_TRIES; tries++) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST, HIGHEST);
            if (!taken.contains(port) && isFree(port)) {
                taken.add(port);
                return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            }
        }
        throw new IllegalStateException("no free port was found");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException exception) {
            return false;
        }
    }
}
