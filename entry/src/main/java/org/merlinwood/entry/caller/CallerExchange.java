package org.merlinwood.entry.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.http.HttpHeader;
import org.xnio.IoUtils;
import org.xnio.conduits.StreamSourceConduit;

/**
 * The caller's connection during one request: writes the answer without blocking, and notices when the caller goes.
 *
 * <p>Lives from the moment that the request was read whole until its answer is written. Methods may be called by any
 * thread; the work is done on the connection's I/O thread, in the order of the calls.
 */
final class CallerExchange {

    /** Bytes of a stream that may wait for a caller who reads slowly. */
    static final int MAXIMUM_PENDING_BYTES = 1 << 20;

    /** How often it is looked whether the caller has gone. */
    static final long WATCH_PERIOD_MILLIS = 200;

    /** How long a caller may take to read the rest of an answer that is complete. */
    static final long READ_LIMIT_MILLIS = 30_000;

    private final HttpServerExchange exchange;
    private final BooleanSupplier draining;
    private final Consumer<ResultCode> onLost;
    private final AtomicBoolean lost = new AtomicBoolean();
    private final AtomicLong pendingBytes = new AtomicLong();
    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean writing;
    private boolean ending;
    private volatile boolean finished;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Takes over an exchange whose request was read whole.
     *
     * @param exchange the exchange, dispatched
     * @param draining tells whether the connection is to be closed after the answer
     * @param onLost called at most once, if the caller goes or reads too slowly
     */
    CallerExchange(HttpServerExchange exchange, BooleanSupplier draining, Consumer<ResultCode> onLost) {
        this.exchange = exchange;
        this.draining = draining;
        this.onLost = onLost;
    }

    /** Starts to look for a caller who has gone. Called on the I/O thread. */
    void watch() {
        exchange.getConnection().addCloseListener(connection -> lose(ResultCode.CALLER_GONE));
        watchLater();
    }

    // ------------------------------------------------------------------ public API

    /** Writes a whole answer. */
    void respond(int status, List<HttpHeader> headers, byte[] body) {
        exchange.getIoThread().execute(() -> {
            if (isOver()) {
                return;
            }
            finished = true;
            closeLater();
            setHead(status, headers);
            exchange.getResponseSender().send(ByteBuffer.wrap(body), IoCallback.END_EXCHANGE);
        });
    }

    /** Begins a streamed answer. */
    void startStream(int status, List<HttpHeader> headers) {
        exchange.getIoThread().execute(() -> {
            if (!isOver()) {
                setHead(status, headers);
            }
        });
    }

    /** Writes a part of a streamed answer, as soon as the caller takes it. */
    void write(byte[] bytes) {
        if (pendingBytes.addAndGet(bytes.length) > MAXIMUM_PENDING_BYTES) {
            lose(ResultCode.CALLER_TOO_SLOW);
            return;
        }
        exchange.getIoThread().execute(() -> {
            if (!isOver()) {
                pending.writeBytes(bytes);
                writePending();
            }
        });
    }

    /** Ends a streamed answer once its parts are written. */
    void endStream() {
        exchange.getIoThread().execute(() -> {
            ending = true;
            closeLater();
            if (!isOver() && !writing) {
                writePending();
            }
        });
    }

    /** Closes the connection, since the caller has gone or does not read. */
    void abort() {
        exchange.getIoThread().execute(() -> {
            finished = true;
            IoUtils.safeClose(exchange.getConnection());
            exchange.endExchange();
        });
    }

    // ------------------------------------------------------------------ internals: writing

    private void setHead(int status, List<HttpHeader> headers) {
        if (draining.getAsBoolean()) {
            exchange.setPersistent(false);
        }
        exchange.setStatusCode(status);
        headers.forEach(header -> exchange.getResponseHeaders().add(new HttpString(header.name()), header.value()));
    }

    private void closeLater() {
        var unused = exchange.getIoThread()
                .executeAfter(
                        () -> {
                            if (!exchange.isComplete()) {
                                IoUtils.safeClose(exchange.getConnection());
                            }
                        },
                        READ_LIMIT_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void writePending() {
        if (writing) {
            return;
        }
        if (pending.size() > 0) {
            byte[] bytes = pending.toByteArray();
            pending = new ByteArrayOutputStream();
            writing = true;
            exchange.getResponseSender().send(ByteBuffer.wrap(bytes), new PartWritten(bytes.length));
        } else if (ending) {
            finished = true;
            exchange.getResponseSender().close(IoCallback.END_EXCHANGE);
        }
    }

    /** Goes on once a part has been taken by the network. */
    private final class PartWritten implements IoCallback {

        private final int length;

        private PartWritten(int length) {
            this.length = length;
        }

        @Override
        public void onComplete(HttpServerExchange source, Sender sender) {
            pendingBytes.addAndGet(-length);
            source.getIoThread().execute(() -> {
                writing = false;
                if (!isOver()) {
                    writePending();
                }
            });
        }

        @Override
        public void onException(HttpServerExchange source, Sender sender, IOException exception) {
            lose(ResultCode.CALLER_GONE);
            abort();
        }
    }

    // ------------------------------------------------------------------ internals: watching

    private boolean isOver() {
        return finished || exchange.isComplete();
    }

    private void lose(ResultCode code) {
        if (!finished && lost.compareAndSet(false, true)) {
            onLost.accept(code);
        }
    }

    private void watchLater() {
        var unused = exchange.getIoThread().executeAfter(this::look, WATCH_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Undertow reads nothing while a request is served, so an end of the connection is looked for by reading. */
    private void look() {
        if (isOver() || lost.get() || !(exchange.getConnection() instanceof AbstractServerConnection connection)) {
            return;
        }
        if (connection.getExtraBytes() != null) {
            return;
        }
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        if (read(connection.getOriginalSourceConduit(), pooled, connection)) {
            watchLater();
        }
    }

    /** Returns true if there is nothing to read yet. What was read belongs to the caller's next request. */
    private boolean read(StreamSourceConduit conduit, PooledByteBuffer pooled, AbstractServerConnection connection) {
        int count = readSafely(conduit, pooled.getBuffer());
        if (count > 0) {
            pooled.getBuffer().flip();
            connection.setExtraBytes(pooled);
            return false;
        }
        pooled.close();
        if (count < 0) {
            lose(ResultCode.CALLER_GONE);
        }
        return count == 0;
    }

    private static int readSafely(StreamSourceConduit conduit, ByteBuffer buffer) {
        try {
            return conduit.read(buffer);
        } catch (IOException exception) {
            return -1;
        }
    }
}
