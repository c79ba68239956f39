package org.merlinwood.http.impl;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Consumer;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.http.impl.response.MalformedResponseException;
import org.merlinwood.http.impl.response.ResponseReader;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Stands between one connection and the response parser, which reads as long as there are bytes, keeps all of a
 * response head, of a chunk's size and of the trailers, and skips or guesses at what it doesn't understand.
 *
 * <p>The parser gets only bytes that a {@link ResponseReader} accepts. Of a read that contains others it gets a head
 * that ends there, since a head tells something of its server also if the body is spoilt, and then the failure. Two
 * limits apply besides: to the bytes of the response that are not body, until the next byte of body, and to the bytes
 * that are read in one turn of the I/O thread, so that the other connections get their turns. Confined to the I/O
 * thread of the connection.
 */
final class ResponseGuard extends AbstractStreamSourceConduit<StreamSourceConduit> {

    /**
     * Size limit of a response head, and of chunk sizes and trailers until the next byte of body, in bytes. More than
     * any upstream sends: a head has less than a kilobyte.
     */
    static final int MAXIMUM_OVERHEAD_BYTES = 64 << 10;

    /** Number of bytes after which the I/O thread turns to its other connections. */
    private static final int MAXIMUM_TURN_BYTES = 64 << 10;

    private final ResponseReader reader = new ResponseReader();
    private long overheadBytes;
    private long turnBytes;
    private Optional<MalformedResponseException> refused = Optional.empty();
    private Consumer<Failure> onRefused = failure -> {};

    private ResponseGuard(StreamSourceConduit next) {
        super(next);
    }

    /** Inserts a guard between a connection and its parser. */
    static ResponseGuard insert(StreamConnection connection) {
        ConduitStreamSourceChannel channel = connection.getSourceChannel();
        ResponseGuard guard = new ResponseGuard(channel.getConduit());
        guard.setReadReadyHandler(guard.new TurnStart(new ReadReadyHandler.ChannelListenerHandler<>(channel)));
        channel.setConduit(guard);
        return guard;
    }

    /**
     * Starts to guard the response to a request.
     *
     * @param responseMayHaveBody false for a request whose response never has a body
     * @param refusedConsumer receives the failure once bytes are refused, before the parser learns of it
     */
    void begin(boolean responseMayHaveBody, Consumer<Failure> refusedConsumer) {
        overheadBytes = 0;
        onRefused = refusedConsumer;
        reader.begin(responseMayHaveBody);
    }

    /** Tells that bytes of the body were received. */
    void bodyReceived() {
        overheadBytes = 0;
    }

    /** Returns whether the response has come to its end, as its server told it. */
    boolean isResponseComplete() {
        return reader.isComplete();
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        if (refused.isPresent()) {
            refuse(refused.get().getMessage());
            throw refused.get();
        }
        if (turnBytes >= MAXIMUM_TURN_BYTES) {
            return 0;
        }
        int start = target.position();
        int count = super.read(target);
        if (count < 0) {
            reader.readEnd();
        }
        if (count <= 0) {
            return count;
        }
        int accepted = accept(target.slice(start, count));
        target.position(start + accepted);
        return accepted;
    }

    /** Reads into the first of the buffers that has room. */
    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        for (int index = offset; index < offset + length; index++) {
            if (targets[index].hasRemaining()) {
                return read(targets[index]);
            }
        }
        return 0;
    }

    /** Returns the number of bytes that the parser gets, at least 1. */
    private int accept(ByteBuffer received) throws IOException {
        turnBytes += received.remaining();
        overheadBytes += received.remaining();
        if (overheadBytes > MAXIMUM_OVERHEAD_BYTES) {
            refuse("the head, chunk sizes or trailers of the response exceed " + MAXIMUM_OVERHEAD_BYTES + " bytes");
            throw new IOException("the response exceeds a size limit");
        }
        try {
            reader.read(received);
        } catch (MalformedResponseException malformed) {
            refused = Optional.of(malformed);
            if (received.position() == 0) {
                refuse(malformed.getMessage());
                throw malformed;
            }
            // The parser learns of it with its next read, the request also if the parser waits for more bytes first.
            getReadThread().execute(() -> refuse(malformed.getMessage()));
        }
        return received.position();
    }

    private void refuse(String reason) {
        onRefused.accept(Failure.of(ResultCode.UPSTREAM_MALFORMED, reason));
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
