package org.merlinwood.http.impl;

import io.undertow.client.ClientConnection;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.merlinwood.core.time.MillisClock;
import org.xnio.IoUtils;

/**
 * Pool of idle connections by address. Limits the number of connections per address and their idle time. Thread-safe.
 */
final class ConnectionPool {

    private static final int MAXIMUM_IDLE_PER_ADDRESS = 32;
    private static final long MAXIMUM_IDLE_MILLIS = 2_000;

    private final Map<InetSocketAddress, ArrayDeque<IdleConnection>> idle = new HashMap<>();
    private final MillisClock clock;

    ConnectionPool(MillisClock clock) {
        this.clock = clock;
    }

    synchronized Optional<ClientConnection> acquire(InetSocketAddress address) {
        ArrayDeque<IdleConnection> connections = idle.get(address);
        if (connections == null) {
            return Optional.empty();
        }
        long oldestAllowed = clock.monotonicMillis() - MAXIMUM_IDLE_MILLIS;
        IdleConnection candidate;
        while ((candidate = connections.pollLast()) != null) {
            if (candidate.connection.isOpen() && candidate.idleSinceMillis >= oldestAllowed) {
                return Optional.of(candidate.connection);
            }
            IoUtils.safeClose(candidate.connection);
        }
        idle.remove(address);
        return Optional.empty();
    }

    synchronized void release(InetSocketAddress address, ClientConnection connection) {
        ArrayDeque<IdleConnection> connections = idle.computeIfAbsent(address, ignored -> new ArrayDeque<>());
        if (!connection.isOpen() || connections.size() >= MAXIMUM_IDLE_PER_ADDRESS) {
            IoUtils.safeClose(connection);
            return;
        }
        connections.addLast(new IdleConnection(connection, clock.monotonicMillis()));
    }

    synchronized int idleCount() {
        return idle.values().stream().mapToInt(ArrayDeque::size).sum();
    }

    synchronized void closeAll() {
        idle.values().forEach(connections -> connections.forEach(entry -> IoUtils.safeClose(entry.connection)));
        idle.clear();
    }

    private record IdleConnection(ClientConnection connection, long idleSinceMillis) {}
}
