package org.merlinwood.http.impl;

import io.undertow.client.ClientConnection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Knows which connections are open, the limits of each, and which of them carry a request. Thread-safe. */
final class ConnectionTracker {

    private final Map<ClientConnection, ReceiveLimit> open = new ConcurrentHashMap<>();
    private final Set<ClientConnection> inUse = ConcurrentHashMap.newKeySet();

    /** Adds a connection that was just established. It is removed when its socket is closed. */
    void opened(ClientConnection connection, ReceiveLimit limit) {
        open.put(connection, limit);
        connection.addCloseListener(open::remove);
    }

    /** Returns the limit of a connection; empty if it is closed. */
    Optional<ReceiveLimit> limit(ClientConnection connection) {
        return Optional.ofNullable(open.get(connection));
    }

    void requestStarted(ClientConnection connection) {
        inUse.add(connection);
    }

    void requestEnded(ClientConnection connection) {
        inUse.remove(connection);
    }

    int openCount() {
        return open.size();
    }

    int inUseCount() {
        return inUse.size();
    }
}
