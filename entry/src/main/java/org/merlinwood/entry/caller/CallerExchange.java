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
import org.merlinwood.http.ConnectionCloseWatch;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.StreamFraming;
import org.xnio.IoUtils;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Connection to the caller during one request. Writes the response without blocking and detects a disconnect.
 *
 * <p>Exists from the time when the request has been read completely until its response is written. Thread-safe: all
 * work is done on the I/O thread of the connection, in the order of the method calls.
 */
final class CallerExchange {

    /** Maximum number of buffered bytes of a stream whose caller reads slowly. */
    static final int MAXIMUM_PENDING_BYTES = 1 << 20;

    /** Interval between two checks whether the caller has disconnected. */
    static final long DISCONNECT_CHECK_INTERVAL_MILLIS = 200;

    /** Maximum time for a caller to read the rest of a complete response. */
    static final long READ_TIMEOUT_MILLIS = 30_000;

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
     * Creates the caller's side of an exchange whose request has been read completely.
     *
     * @param exchange the dispatched exchange
     * @param draining returns whether the connection is closed after the response
     * @param onLost called at most once, if the caller disconnects or reads too slowly
     */
    CallerExchange(HttpServerExchange exchange, BooleanSupplier draining, Consumer<ResultCode> onLost) {
        this.exchange = exchange;
        this.draining = draining;
        this.onLost = onLost;
    }

    /** Starts to detect a disconnect of the caller. Called on the I/O thread. */
    void watchForDisconnect() {
        ConnectionCloseWatch.watch(exchange, () -> notifyLost(ResultCode.CALLER_GONE));
        scheduleDisconnectCheck();
    }

    // ------------------------------------------------------------------ public API

    /** Writes a complete response. */
    void respond(int status, List<HttpHeader> headers, byte[] body) {
        exchange.getIoThread().execute(() -> {
            if (isEnded()) {
                return;
            }
            finished = true;
            scheduleClose();
            setHead(status, headers);
            exchange.getResponseSender().send(ByteBuffer.wrap(body), IoCallback.END_EXCHANGE);
        });
    }

    /** Starts a streamed response. */
    void startStream(int status, List<HttpHeader> headers) {
        exchange.getIoThread().execute(() -> {
            if (!isEnded()) {
                setHead(status, headers);
                StreamFraming.begin(exchange);
            }
        });
    }

    /** Writes a part of a streamed response as soon as the caller can receive it. */
    void write(byte[] bytes) {
        if (pendingBytes.addAndGet(bytes.length) > MAXIMUM_PENDING_BYTES) {
            notifyLost(ResultCode.CALLER_TOO_SLOW);
            return;
        }
        exchange.getIoThread().execute(() -> {
            if (!isEnded()) {
                pending.writeBytes(bytes);
                writePending();
            }
        });
    }

    /** Ends a streamed response after all of its parts are written. */
    void endStream() {
        exchange.getIoThread().execute(() -> {
            ending = true;
            scheduleClose();
            if (!isEnded() && !writing) {
                writePending();
            }
        });
    }

    /** Closes the connection of a caller that has disconnected or does not read. */
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

    private void scheduleClose() {
        var unused = exchange.getIoThread()
                .executeAfter(
                        () -> {
                            if (!exchange.isComplete()) {
                                IoUtils.safeClose(exchange.getConnection());
                            }
                        },
                        READ_TIMEOUT_MILLIS,
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
            StreamFraming.complete(exchange);
            exchange.getResponseSender().close(IoCallback.END_EXCHANGE);
        }
    }

    /** Continues with the next part after the network has accepted one. */
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
                if (!isEnded()) {
                    writePending();
                }
            });
        }

        @Override
        public void onException(HttpServerExchange source, Sender sender, IOException exception) {
            notifyLost(ResultCode.CALLER_GONE);
            abort();
        }
    }

    // ------------------------------------------------------------------ internals: disconnect detection

    private boolean isEnded() {
        return finished || exchange.isComplete();
    }

    private void notifyLost(ResultCode code) {
        if (!finished && lost.compareAndSet(false, true)) {
            onLost.accept(code);
        }
    }

    private void scheduleDisconnectCheck() {
        var unused = exchange.getIoThread()
                .executeAfter(this::checkDisconnect, DISCONNECT_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Checks for a disconnect by reading, since Undertow does not read from the connection while a request is
     * processed.
     */
    private void checkDisconnect() {
        if (isEnded() || lost.get() || !(exchange.getConnection() instanceof AbstractServerConnection connection)) {
            return;
        }
        if (connection.getExtraBytes() != null) {
            return;
        }
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        if (readAhead(connection.getOriginalSourceConduit(), pooled, connection)) {
            scheduleDisconnectCheck();
        }
    }

    /** Returns whether there was nothing to read. Bytes that were read belong to the next request of the caller. */
    private boolean readAhead(
            StreamSourceConduit conduit, PooledByteBuffer pooled, AbstractServerConnection connection) {
        int count = readSafely(conduit, pooled.getBuffer());
        if (count > 0) {
            pooled.getBuffer().flip();
            connection.setExtraBytes(pooled);
            return false;
        }
        pooled.close();
        if (count < 0) {
            notifyLost(ResultCode.CALLER_GONE);
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
