package org.merlinwood.http.impl;

import com.google.common.flogger.FluentLogger;
import io.undertow.client.ClientConnection;
import java.io.IOException;
import java.util.concurrent.RejectedExecutionException;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/**
 * Closes client connections so that the server sees the end at once, also in the middle of a response.
 *
 * <p>{@link ClientConnection#close()} does not do that: while a response is outstanding the socket stays open until the
 * server sends its next bytes. This class takes the socket out of the client connection and closes it, whatever
 * {@link ClientConnection#isOpen()} says: that is false from the head of a response that the server will end by closing
 * the connection, while the socket stays open. Thread-safe.
 */
final class ConnectionCloser {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private ConnectionCloser() {}

    /** Closes a connection; does nothing if it is null or its socket is already closed. */
    static void close(ClientConnection connection) {
        if (connection == null) {
            return;
        }
        XnioIoThread thread = connection.getIoThread();
        if (thread.equals(Thread.currentThread())) {
            closeSocket(connection);
            return;
        }
        try {
            thread.execute(() -> closeSocket(connection));
        } catch (RejectedExecutionException stopped) {
            logger.atFine().withCause(stopped).log("the I/O thread has stopped and closes its connections itself");
        }
    }

    private static void closeSocket(ClientConnection connection) {
        try {
            IoUtils.safeClose(connection.performUpgrade());
        } catch (IOException closed) {
            logger.atFine().withCause(closed).log("the connection was closed by the server in the meantime");
            IoUtils.safeClose(connection);
        }
    }
}
