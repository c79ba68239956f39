package org.merlinwood.http.impl;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.LongConsumer;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Limits what the response parser reads from one connection. The parser itself reads as long as there are bytes, and
 * keeps all of a response head, of a chunk's size and of the trailers.
 *
 * <p>Two limits apply: to the bytes of the response that are not body, until the next byte of body, and to the bytes
 * that are read in one turn of the I/O thread, so that the other connections get their turns. Confined to the I/O
 * thread of the connection.
 */
final class ReceiveLimit extends AbstractStreamSourceConduit<StreamSourceConduit> {

    /**
     * Size limit of a response head, and of chunk sizes and trailers until the next byte of body, in bytes. More than
     * any upstream sends: a head has less than a kilobyte.
     */
    static final int MAXIMUM_OVERHEAD_BYTES = 64 << 10;

    /** Number of bytes after which the I/O thread turns to its other connections. */
    private static final int MAXIMUM_TURN_BYTES = 64 << 10;

    private long overheadBytes;
    private long turnBytes;
    private LongConsumer onExceeded = bytes -> {};

    private ReceiveLimit(StreamSourceConduit next) {
        super(next);
    }

    /** Inserts a limit between a connection and its parser. */
    static ReceiveLimit insert(StreamConnection connection) {
        ConduitStreamSourceChannel channel = connection.getSourceChannel();
        ReceiveLimit limit = new ReceiveLimit(channel.getConduit());
        limit.setReadReadyHandler(limit.new TurnStart(new ReadReadyHandler.ChannelListenerHandler<>(channel)));
        channel.setConduit(limit);
        return limit;
    }

    /** Starts to count for a request. The consumer receives the limit in bytes once it is exceeded. */
    void begin(LongConsumer exceededConsumer) {
        overheadBytes = 0;
        onExceeded = exceededConsumer;
    }

    /** Tells that bytes of the body were received. */
    void bodyReceived() {
        overheadBytes = 0;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        if (turnBytes >= MAXIMUM_TURN_BYTES) {
            return 0;
        }
        int count = super.read(target);
        record(count);
        return count;
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        if (turnBytes >= MAXIMUM_TURN_BYTES) {
            return 0;
        }
        long count = super.read(targets, offset, length);
        record(count);
        return count;
    }

    private void record(long count) throws IOException {
        if (count <= 0) {
            return;
        }
        turnBytes += count;
        overheadBytes += count;
        if (overheadBytes > MAXIMUM_OVERHEAD_BYTES) {
            onExceeded.accept(MAXIMUM_OVERHEAD_BYTES);
            throw new IOException("the response exceeds a size limit");
        }
    }

    /** Resets the bytes of the turn when the I/O thread turns to the connection. */
    private final class TurnStart implements ReadReadyHandler {

        private final ReadReadyHandler handler;

        private TurnStart(ReadReadyHandler handler) {
            this.handler = handler;
        }

        @Override
        public void readReady() {
            turnBytes = 0;
            handler.readReady();
        }

        @Override
        public void forceTermination() {
            handler.forceTermination();
        }

        @Override
        public void terminated() {
            handler.terminated();
        }
    }
}
