package org.merlinwood.http;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpContinue;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.merlinwood.core.result.ResultCode;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the body of one request. It takes room in the account of held bytes for what has arrived, whatever length the
 * head declares, and stops reading while there is none. Confined to the I/O thread of the connection.
 */
public final class BodyReader {

    /** Room that is taken, and bytes that are read, at a time. */
    private static final int PART_BYTES = 16 << 10;

    private final HttpServerExchange exchange;
    private final HeldBytes.Holder holder;
    private final Runnable onBytes;
    private final long maximumBytes;
    private final BooleanSupplier ended;
    private final Consumer<byte[]> onComplete;
    private final Consumer<ResultCode> onFailure;
    private final List<byte[]> parts = new ArrayList<>();
    private long bodyBytes;
    private long roomBytes;
    private ByteBuffer part = ByteBuffer.allocate(0);
    private StreamSourceChannel channel;

    /**
     * Creates a reader.
     *
     * @param exchange the exchange of the request; must have been dispatched
     * @param holder the part of its connection in the account
     * @param onBytes called for each part of the body
     * @param maximumBytes maximum size of the body, in bytes
     * @param ended returns whether the request has been refused meanwhile
     * @param onComplete receives the body
     * @param onFailure receives why the body can't be read
     */
    public BodyReader(
            HttpServerExchange exchange,
            HeldBytes.Holder holder,
            Runnable onBytes,
            long maximumBytes,
            BooleanSupplier ended,
            Consumer<byte[]> onComplete,
            Consumer<ResultCode> onFailure) {
        this.exchange = exchange;
        this.holder = holder;
        this.onBytes = onBytes;
        this.maximumBytes = maximumBytes;
        this.ended = ended;
        this.onComplete = onComplete;
        this.onFailure = onFailure;
    }

    /** Starts to read. Calls one of the consumers, at once or later, unless the request is refused meanwhile. */
    public void start() {
        if (exchange.getRequestContentLength() > maximumBytes) {
            onFailure.accept(ResultCode.BODY_TOO_LARGE);
        } else if (exchange.isRequestComplete()) {
            onComplete.accept(new byte[0]);
        } else if (HttpContinue.requiresContinueResponse(exchange)) {
            HttpContinue.sendContinueResponse(exchange, new ReadWhenSent());
        } else {
            begin();
        }
    }

    private void begin() {
        channel = exchange.getRequestChannel();
        channel.getReadSetter().set(readable -> read());
        read();
    }

    private void read() {
        try {
            readParts();
        } catch (IOException exception) {
            if (!ended.getAsBoolean()) {
                stop();
                onFailure.accept(ResultCode.MALFORMED_REQUEST);
            }
        }
    }

    private void readParts() throws IOException {
        while (!ended.getAsBoolean()) {
            if (!part.hasRemaining() && !addPart()) {
                channel.suspendReads();
                holder.awaitRoom(() -> exchange.getIoThread().execute(this::read));
                return;
            }
            int count = channel.read(part);
            if (count == 0) {
                channel.resumeReads();
                return;
            }
            if (count < 0) {
                complete();
                return;
            }
            onBytes.run();
            bodyBytes += count;
            if (bodyBytes > maximumBytes) {
                stop();
                onFailure.accept(ResultCode.BODY_TOO_LARGE);
                return;
            }
        }
        // The server may be draining the rest of a request that was ended meanwhile, so its reads go on.
        release();
    }

    /** Allocates the next part; returns false if there is no room for it. */
    private boolean addPart() {
        long declared = exchange.getRequestContentLength();
        int bytes = declared < 0 ? PART_BYTES : Math.clamp(declared - bodyBytes, 1, PART_BYTES);
        if (!holder.tryAdd(bytes)) {
            return false;
        }
        roomBytes += bytes;
        byte[] added = new byte[bytes];
        part = ByteBuffer.wrap(added);
        parts.add(added);
        return true;
    }

    private void complete() {
        byte[] body = joined();
        stop();
        holder.remove(roomBytes - body.length);
        onComplete.accept(body);
    }

    /** Returns the bytes of all parts. Each part is full before the next one is begun. */
    private byte[] joined() {
        if (parts.getFirst().length == bodyBytes) {
            return parts.getFirst();
        }
        byte[] body = new byte[Math.toIntExact(bodyBytes)];
        int position = 0;
        for (byte[] read : parts) {
            int length = Math.min(read.length, body.length - position);
            System.arraycopy(read, 0, body, position, length);
            position += length;
        }
        return body;
    }

    /**
     * Ends the reading and drops what was read. Called when the request is refused or its connection closed: a reader
     * that waits for room is not resumed then, and would keep its parts as long as the exchange lives.
     */
    public void abandon() {
        if (channel != null) {
            stop();
        }
    }

    private void stop() {
        channel.getReadSetter().set(null);
        channel.suspendReads();
        release();
    }

    private void release() {
        parts.clear();
        part = ByteBuffer.allocate(0);
    }

    /** Reads the body once the caller has been told to send it. */
    private final class ReadWhenSent implements IoCallback {

        @Override
        public void onComplete(HttpServerExchange continued, Sender sender) {
            begin();
        }

        @Override
        public void onException(HttpServerExchange failed, Sender sender, IOException exception) {
            if (!ended.getAsBoolean()) {
                onFailure.accept(ResultCode.MALFORMED_REQUEST);
            }
        }
    }
}
