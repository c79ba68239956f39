package org.merlinwood.http.impl;

import io.undertow.client.ClientConnection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Knows which connections are open, the guard of each, and which of them carry a request. Thread-safe. */
final class ConnectionTracker {

    private final Map<ClientConnection, ResponseGuard> open = new ConcurrentHashMap<>();
    private final Set<ClientConnection> inUse = ConcurrentHashMap.newKeySet();

    /** Adds a connection that was just established. It is removed when its socket is closed. */
    void opened(ClientConnection connection, ResponseGuard guard) {
        open.put(connection, guard);
        connection.addCloseListener(open::remove);
    }

    /** Returns the guard of a connection; empty if it is closed. */
    Optional<ResponseGuard> guard(ClientConnection connection) {
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
