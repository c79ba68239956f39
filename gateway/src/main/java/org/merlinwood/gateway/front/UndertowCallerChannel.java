package org.merlinwood.gateway.front;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;
import org.merlinwood.http.HttpHeader;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * A caller's connection on Undertow. Used by its I/O thread alone, for one request.
 *
 * <p>While a request is answered, Undertow does not read from the connection. This class does, so that a caller who
 * leaves is noticed at once; bytes of a next request are kept for Undertow.
 */
final class UndertowCallerChannel implements CallerChannel {

    /** Bytes that wait for a slow caller at most; many times a whole answer. */
    private static final int MAXIMUM_WAITING_BYTES = 4 << 20;

    private static final int PROBE_BYTES = 1_024;

    private final HttpServerExchange exchange;
    private final ArrayDeque<ByteBuffer> waiting = new ArrayDeque<>();
    private Runnable goneAction = () -> {};
    private boolean finished;
    private boolean endAfterWaiting;
    private int waitingBytes;
    private StreamSinkChannel sink;

    UndertowCallerChannel(HttpServerExchange exchange) {
        this.exchange = exchange;
        exchange.getConnection().addCloseListener(this::onConnectionClosed);
    }

    // ------------------------------------------------------------------ whole answers

    @Override
    public void respond(int status, List<HttpHeader> headers, byte[] body) {
        if (finished) {
            return;
        }
        finished = true;
        putHead(status, headers);
        exchange.setResponseContentLength(body.length);
        exchange.getResponseSender().send(ByteBuffer.wrap(body), new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange done, Sender sender) {
                done.endExchange();
            }

            @Override
            public void onException(HttpServerExchange done, Sender sender, IOException exception) {
                IoUtils.safeClose(done.getConnection());
            }
        });
    }

    // ------------------------------------------------------------------ streamed answers

    @Override
    public void begin(int status, List<HttpHeader> headers) {
        if (finished) {
            return;
        }
        putHead(status, headers);
        sink = exchange.getResponseChannel();
        sink.getWriteSetter().set(writable -> flushWaiting());
    }

    @Override
    public void write(byte[] part) {
        if (finished) {
            return;
        }
        waiting.addLast(ByteBuffer.wrap(part));
        waitingBytes += part.length;
        if (waitingBytes > MAXIMUM_WAITING_BYTES) {
            leave();
            return;
        }
        flushWaiting();
    }

    @Override
    public void end() {
        if (finished) {
            return;
        }
        endAfterWaiting = true;
        flushWaiting();
    }

    @Override
    public void abort() {
        if (finished) {
            return;
        }
        finished = true;
        IoUtils.safeClose(exchange.getConnection());
    }

    private void flushWaiting() {
        if (finished) {
            return;
        }
        try {
            while (!waiting.isEmpty()) {
                ByteBuffer first = waiting.peekFirst();
                int count = sink.write(first);
                waitingBytes -= count;
                if (first.hasRemaining()) {
                    sink.resumeWrites();
                    return;
                }
                waiting.removeFirst();
            }
            if (endAfterWaiting) {
                finished = true;
                sink.suspendWrites();
                exchange.endExchange();
                return;
            }
            if (sink.flush()) {
                sink.suspendWrites();
            } else {
                sink.resumeWrites();
            }
        } catch (IOException broken) {
            leave();
        }
    }

    // ------------------------------------------------------------------ a caller who leaves

    @Override
    public void onDisconnect(Runnable action) {
        goneAction = action;
    }

    /** Begins to watch the connection; called once the request was read whole. */
    void watch() {
        if (exchange.getConnection() instanceof HttpServerConnection connection && connection.getExtraBytes() == null) {
            ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
            source.setReadListener(ignored -> probe(connection));
            connection.getOriginalSourceConduit().resumeReads();
        }
    }

    private void probe(AbstractServerConnection connection) {
        if (finished || connection.getExtraBytes() != null) {
            connection.getOriginalSourceConduit().suspendReads();
            return;
        }
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean keep = false;
        try {
            ByteBuffer buffer = pooled.getBuffer();
            buffer.clear().limit(Math.min(buffer.capacity(), PROBE_BYTES));
            int count = connection.getOriginalSourceConduit().read(buffer);
            if (count < 0) {
                leave();
            } else if (count > 0) {
                buffer.flip();
                keep = true;
                connection.setExtraBytes(pooled);
                connection.getOriginalSourceConduit().suspendReads();
            }
        } catch (IOException broken) {
            leave();
        } finally {
            if (!keep) {
                pooled.close();
            }
        }
    }

    private void onConnectionClosed(ServerConnection closed) {
        if (!finished) {
            leave();
        }
    }

    private void leave() {
        if (finished) {
            return;
        }
        finished = true;
        Runnable action = goneAction;
        goneAction = () -> {};
        IoUtils.safeClose(exchange.getConnection());
        action.run();
    }

    private void putHead(int status, List<HttpHeader> headers) {
        exchange.setStatusCode(status);
        headers.forEach(
                header -> exchange.getResponseHeaders().add(HttpString.tryFromString(header.name()), header.value()));
    }
}
