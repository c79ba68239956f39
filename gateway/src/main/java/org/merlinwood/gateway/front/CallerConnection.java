package org.merlinwood.gateway.front;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/** One connection of a caller and what it holds of a request. Confined to the event loop. */
final class CallerConnection {

    /** What a connection holds. */
    enum State {
        /** No byte has been received since the connection was opened. */
        UNUSED,
        /** The last request has its complete response, and no byte of another one has been received. */
        IDLE,
        /** A part of the head of a request has been received. */
        PARTIAL_HEAD,
        /** The head of a request has been received and its body is incomplete. */
        PARTIAL_BODY,
        /** A request has been refused before its body was complete. */
        REFUSED,
        /** A request has been received whose response is incomplete. */
        PROCESSING;

        /** Returns whether a request, or a part of one, has no complete response. */
        boolean unanswered() {
            return this != UNUSED && this != IDLE && this != REFUSED;
        }
    }

    private final StreamConnection connection;
    private final ReceivedBytes receivedBytes;
    private long unchangedSinceMillis;
    private boolean used;
    private boolean processing;
    private boolean bodyReceived;
    private boolean refused;

    CallerConnection(StreamConnection connection, long openedMillis) {
        this.connection = connection;
        this.unchangedSinceMillis = openedMillis;
        this.receivedBytes = new ReceivedBytes(connection.getSourceChannel().getConduit());
        connection.getSourceChannel().setConduit(receivedBytes);
    }

    void startRequest() {
        used = true;
        processing = true;
        bodyReceived = false;
    }

    void completeBody() {
        bodyReceived = true;
    }

    /** Records that the request was refused before its body was complete. The connection serves no other one. */
    void refuseIncompleteBody() {
        refused = true;
    }

    /** Reads what lies unread in the connection, within the present turn of the event loop. */
    void readUnread() {
        connection.getSourceChannel().wakeupReads();
    }

    void close() {
        IoUtils.safeClose(connection);
    }

    void completeRequest(HttpServerExchange exchange, long nowMillis) {
        processing = false;
        unchangedSinceMillis = nowMillis;
        receivedBytes.reset(pipelinedBytes(exchange.getConnection()));
    }

    private static long pipelinedBytes(ServerConnection connection) {
        if (!(connection instanceof AbstractServerConnection abstractConnection)) {
            return 0;
        }
        PooledByteBuffer extraBytes = abstractConnection.getExtraBytes();
        return extraBytes == null ? 0 : extraBytes.getBuffer().remaining();
    }

    State state() {
        if (refused) {
            return State.REFUSED;
        }
        if (processing) {
            return bodyReceived ? State.PROCESSING : State.PARTIAL_BODY;
        }
        if (receivedBytes.count() > 0) {
            return State.PARTIAL_HEAD;
        }
        return used ? State.IDLE : State.UNUSED;
    }

    boolean isOpen() {
        return connection.isOpen();
    }

    /** Returns the number of bytes received since the end of the last request. */
    long receivedBytes() {
        return receivedBytes.count();
    }

    /** Returns the time since the connection was opened or its last response was complete, in milliseconds. */
    long unchangedMillis(long nowMillis) {
        return nowMillis - unchangedSinceMillis;
    }
}
