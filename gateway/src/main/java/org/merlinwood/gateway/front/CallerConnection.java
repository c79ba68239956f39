package org.merlinwood.gateway.front;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.loop.EventLoop;
import org.merlinwood.http.HeldBytes;
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

    private static final byte[] HEAD_REFUSAL =
            "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII);

    private final StreamConnection connection;
    private final ReceivedBytes receivedBytes;
    private final MillisClock clock;
    private final ClientLimits limits;
    private final ClientFaults faults;
    private final EventLoop loop;
    private long unchangedSinceMillis;
    private long headBegunMillis;
    private boolean used;
    private boolean processing;
    private boolean bodyReceived;
    private boolean refused;
    private long overheadBytes;
    private long lingerBytes;
    private long unreadBytes;
    private Optional<HeldBytes.Holder> holder = Optional.empty();
    private Runnable endRequest = this::close;

    CallerConnection(
            StreamConnection connection, MillisClock clock, ClientLimits limits, ClientFaults faults, EventLoop loop) {
        this.connection = connection;
        this.clock = clock;
        this.unchangedSinceMillis = clock.monotonicMillis();
        this.limits = limits;
        this.faults = faults;
        this.loop = loop;
        this.receivedBytes =
                new ReceivedBytes(connection.getSourceChannel().getConduit(), this::onReceived, loop::execute);
        connection.getSourceChannel().setConduit(receivedBytes);
        connection
                .getSinkChannel()
                .setConduit(new SentBytes(connection.getSinkChannel().getConduit(), this::onSent));
    }

    /** Records the head of a request. The action ends the request if its bytes are needed; it runs at most once. */
    void startRequest(Runnable endIncompleteRequest) {
        used = true;
        processing = true;
        bodyReceived = false;
        overheadBytes = 0;
        endRequest = endIncompleteRequest;
    }

    /** Records bytes of the body that were read. */
    void receiveBody() {
        overheadBytes = 0;
    }

    void completeBody() {
        bodyReceived = true;
        holder().evictable(false);
    }

    /**
     * Records that the request was refused before its body was complete. The connection serves no other one. Its caller
     * may go on sending for a moment, so that it can read the refusal.
     *
     * @param declaredBytes length that the head declares, in bytes; negative if it declares none
     */
    void refuseIncompleteBody(long declaredBytes) {
        refused = true;
        lingerBytes = Math.max(declaredBytes, ClientLimits.MAXIMUM_OVERHEAD_BYTES);
        release();
        loop.schedule(ClientLimits.LINGER_MILLIS, this::close);
    }

    /** Returns whether its request was refused before the body was complete. */
    boolean isRefused() {
        return refused;
    }

    /** Returns what the connection holds for its present request. */
    HeldBytes.Holder holder() {
        if (holder.isEmpty()) {
            holder = Optional.of(limits.heldBytes().open(this::evict));
        }
        return holder.get();
    }

    private void evict() {
        end(ClientFaults.Kind.NO_ROOM);
        release();
    }

    /**
     * Sets the number of bytes of the response that wait for the caller to read. If there is no room, other connections
     * give way first.
     *
     * @return false if there is no room
     */
    boolean holdUnread(long bytes) {
        long added = bytes - unreadBytes;
        if (added > 0 && !holder().tryAddResponse(added)) {
            faults.record(
                    ClientFaults.Kind.RESPONSE_WITHOUT_ROOM, limits.heldBytes().heldBytes());
            return false;
        }
        holder().remove(-added);
        if ((unreadBytes == 0) != (bytes == 0)) {
            endRequest = this::close;
            holder().evictable(bytes > 0);
        }
        unreadBytes = bytes;
        return true;
    }

    /** Takes room for a part of a head. If there is none, connections that have stopped are ended first. */
    private boolean tryHoldHead(long bytes) {
        boolean held = holder().tryAdd(bytes);
        while (!held && limits.heldBytes().evictStalled()) {
            held = holder().tryAdd(bytes);
        }
        return held;
    }

    /** Ends the connection or its request if one of its timeouts has passed. */
    void applyTimeouts(long nowMillis) {
        long stalledMillis = holder.map(HeldBytes.Holder::stalledMillis).orElse(0L);
        State state = state();
        if (state == State.PARTIAL_HEAD && headMillis(nowMillis) >= ClientLimits.HEAD_TIMEOUT_MILLIS) {
            end(ClientFaults.Kind.HEAD_TOO_LATE);
        } else if (state == State.PARTIAL_BODY && stalledMillis >= ClientLimits.BODY_STALL_TIMEOUT_MILLIS) {
            end(ClientFaults.Kind.BODY_STALLED);
        } else if (state == State.PROCESSING
                && unreadBytes > 0
                && stalledMillis >= ClientLimits.UNREAD_TIMEOUT_MILLIS) {
            end(ClientFaults.Kind.RESPONSE_UNREAD);
        }
    }

    private void end(ClientFaults.Kind kind) {
        faults.record(kind, limits.heldBytes().heldBytes());
        endRequest.run();
    }

    private void onReceived(long bytes) throws IOException {
        if (processing) {
            onBodyReceived(bytes);
        } else {
            onHeadReceived(bytes);
        }
    }

    private void onHeadReceived(long bytes) throws IOException {
        if (receivedBytes.count() == bytes) {
            headBegunMillis = clock.monotonicMillis();
            holder().evictable(true);
        }
        holder().recordProgress();
        if (receivedBytes.count() > limits.maximumHeadBytes().getAsLong()) {
            faults.record(ClientFaults.Kind.HEAD_TOO_LARGE, limits.heldBytes().heldBytes());
            connection.getSinkChannel().write(ByteBuffer.wrap(HEAD_REFUSAL));
            throw new IOException("the head of a request is too large");
        }
        if (!tryHoldHead(bytes)) {
            faults.record(ClientFaults.Kind.NO_ROOM, limits.heldBytes().heldBytes());
            throw new IOException("no room for the head of a request");
        }
    }

    private void onBodyReceived(long bytes) throws IOException {
        if (bodyReceived) {
            return;
        }
        if (refused) {
            lingerBytes -= bytes;
            if (lingerBytes < 0) {
                throw new IOException("a refused request goes on without end");
            }
            return;
        }
        holder().recordProgress();
        overheadBytes += bytes;
        if (overheadBytes > ClientLimits.MAXIMUM_OVERHEAD_BYTES + bytes) {
            faults.record(
                    ClientFaults.Kind.OVERHEAD_TOO_LARGE, limits.heldBytes().heldBytes());
            throw new IOException("the framing of a request body is too large");
        }
    }

    private void onSent() {
        if (unreadBytes > 0) {
            holder().recordProgress();
        }
    }

    /** Reads what lies unread in the connection, within the present turn of the event loop. */
    void readUnread() {
        connection.getSourceChannel().wakeupReads();
    }

    void close() {
        IoUtils.safeClose(connection);
        release();
    }

    /** Gives back all that the connection holds. */
    void release() {
        holder.ifPresent(HeldBytes.Holder::close);
        holder = Optional.empty();
        unreadBytes = 0;
    }

    void completeRequest(HttpServerExchange exchange, long nowMillis) {
        processing = false;
        unchangedSinceMillis = nowMillis;
        headBegunMillis = nowMillis;
        endRequest = this::close;
        release();
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

    /** Returns the time since the first byte of an incomplete head was received, in milliseconds. */
    long headMillis(long nowMillis) {
        return nowMillis - headBegunMillis;
    }

    /** Returns the time since the connection was opened or its last response was complete, in milliseconds. */
    long unchangedMillis(long nowMillis) {
        return nowMillis - unchangedSinceMillis;
    }
}
