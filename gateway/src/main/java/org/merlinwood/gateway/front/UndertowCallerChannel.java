package org.merlinwood.gateway.front;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;
import org.merlinwood.http.ConnectionCloseWatch;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.StreamFraming;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Sends the response to one request over an Undertow connection. Used by the I/O thread of the connection alone.
 *
 * <p>Undertow does not read from the connection while a request is being processed. This class does, so that it detects
 * at once when the caller disconnects. Bytes of a pipelined request that it reads are handed back to Undertow.
 */
final class UndertowCallerChannel implements CallerChannel {

    /**
     * Maximum number of bytes buffered for a slow caller; beyond it the connection is closed. Many times the size of a
     * complete response.
     */
    private static final int MAXIMUM_PENDING_BYTES = 4 << 20;

    private static final int PROBE_BUFFER_BYTES = 1_024;

    private final HttpServerExchange exchange;
    private final ConnectionReuse connectionReuse;
    private final CallerConnection connection;
    private final ArrayDeque<ByteBuffer> pendingBuffers = new ArrayDeque<>();
    private Runnable disconnectAction = () -> {};
    private boolean finished;
    private boolean endAfterFlush;
    private int pendingBytes;
    private StreamSinkChannel sink;

    UndertowCallerChannel(HttpServerExchange exchange, ConnectionReuse connectionReuse, CallerConnection connection) {
        this.exchange = exchange;
        this.connection = connection;
        this.connectionReuse = connectionReuse;
        ConnectionCloseWatch.watch(exchange, this::onConnectionClosed);
    }

    @Override
    public void respond(int status, List<HttpHeader> headers, byte[] body) {
        if (sink != null) {
            abort();
            return;
        }
        if (finished) {
            return;
        }
        if (!connection.isRefused() && !connection.holdUnread(body.length)) {
            disconnect();
            return;
        }
        finished = true;
        setResponseHead(status, headers);
        exchange.setResponseContentLength(body.length);
        exchange.getResponseSender().send(ByteBuffer.wrap(body), new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange completed, Sender sender) {
                completed.endExchange();
            }

            @Override
            public void onException(HttpServerExchange failed, Sender sender, IOException exception) {
                IoUtils.safeClose(failed.getConnection());
            }
        });
    }

    @Override
    public void begin(int status, List<HttpHeader> headers) {
        if (finished) {
            return;
        }
        setResponseHead(status, headers);
        StreamFraming.begin(exchange);
        sink = exchange.getResponseChannel();
        sink.getWriteSetter().set(writable -> continueWriting());
    }

    @Override
    public void write(byte[] part) {
        if (finished) {
            return;
        }
        pendingBuffers.addLast(ByteBuffer.wrap(part));
        pendingBytes += part.length;
        if (pendingBytes > MAXIMUM_PENDING_BYTES) {
            disconnect();
            return;
        }
        flushPending();
        if (!finished && !connection.holdUnread(pendingBytes)) {
            disconnect();
        }
    }

    @Override
    public void end() {
        if (finished) {
            return;
        }
        endAfterFlush = true;
        flushPending();
    }

    @Override
    public void abort() {
        if (finished) {
            return;
        }
        finished = true;
        IoUtils.safeClose(exchange.getConnection());
    }

    /** Called when the caller can take more bytes. */
    private void continueWriting() {
        flushPending();
        if (!finished) {
            connection.holdUnread(pendingBytes);
        }
    }

    private void flushPending() {
        if (finished) {
            return;
        }
        try {
            while (!pendingBuffers.isEmpty()) {
                ByteBuffer first = pendingBuffers.peekFirst();
                int count = sink.write(first);
                pendingBytes -= count;
                if (first.hasRemaining()) {
                    sink.resumeWrites();
                    return;
                }
                pendingBuffers.removeFirst();
            }
            if (endAfterFlush) {
                finished = true;
                sink.suspendWrites();
                StreamFraming.complete(exchange);
                exchange.endExchange();
                return;
            }
            if (sink.flush()) {
                sink.suspendWrites();
            } else {
                sink.resumeWrites();
            }
        } catch (IOException exception) {
            disconnect();
        }
    }

    @Override
    public void onDisconnect(Runnable action) {
        disconnectAction = action;
    }

    /** Starts to watch the connection for a disconnect. Called once the request has been read completely. */
    void watchForDisconnect() {
        if (exchange.getConnection() instanceof HttpServerConnection server && server.getExtraBytes() == null) {
            ConduitStreamSourceChannel source = server.getChannel().getSourceChannel();
            source.setReadListener(ignored -> probeConnection(server));
            server.getOriginalSourceConduit().resumeReads();
        }
    }

    private void probeConnection(AbstractServerConnection server) {
        if (finished || server.getExtraBytes() != null) {
            server.getOriginalSourceConduit().suspendReads();
            return;
        }
        PooledByteBuffer pooled = server.getByteBufferPool().allocate();
        boolean handedOver = false;
        try {
            ByteBuffer buffer = pooled.getBuffer();
            buffer.clear().limit(Math.min(buffer.capacity(), PROBE_BUFFER_BYTES));
            int count = server.getOriginalSourceConduit().read(buffer);
            if (count < 0) {
                disconnect();
            } else if (count > 0) {
                buffer.flip();
                handedOver = true;
                server.setExtraBytes(pooled);
                server.getOriginalSourceConduit().suspendReads();
            }
        } catch (IOException exception) {
            disconnect();
        } finally {
            if (!handedOver) {
                pooled.close();
            }
        }
    }

    private void onConnectionClosed() {
        connection.release();
        if (!finished) {
            disconnect();
        }
    }

    private void disconnect() {
        if (finished) {
            return;
        }
        finished = true;
        Runnable action = disconnectAction;
        disconnectAction = () -> {};
        IoUtils.safeClose(exchange.getConnection());
        action.run();
    }

    private void setResponseHead(int status, List<HttpHeader> headers) {
        exchange.setStatusCode(status);
        connectionReuse.announce(exchange);
        headers.forEach(
                header -> exchange.getResponseHeaders().add(HttpString.tryFromString(header.name()), header.value()));
    }
}
