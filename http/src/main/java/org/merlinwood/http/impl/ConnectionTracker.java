package org.merlinwood.http.impl;

import io.undertow.client.ClientConnection;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Knows which connections are open and which of them carry a request. Thread-safe. */
final class ConnectionTracker {

    private final Set<ClientConnection> open = ConcurrentHashMap.newKeySet();
    private final Set<ClientConnection> inUse = ConcurrentHashMap.newKeySet();

    /** Adds a connection that was just established. It is removed when its socket is closed. */
    void opened(ClientConnection connection) {
        open.add(connection);
        connection.addCloseListener(open::remove);
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
