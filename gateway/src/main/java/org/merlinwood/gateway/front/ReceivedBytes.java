package org.merlinwood.gateway.front;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Counts the bytes that are read from a connection since the end of its last request, and limits them: in one turn of
 * the event loop, so that the other connections get their turns, and by what the connection may send now. The parser
 * itself reads as long as there are bytes, and keeps all of a head and of the trailers. Confined to the event loop.
 */
final class ReceivedBytes extends AbstractStreamSourceConduit<StreamSourceConduit> {

    /** Decides on bytes that were read. */
    @FunctionalInterface
    interface Check {
        /**
         * Called for bytes that were read, before the parser sees them.
         *
         * @param bytes number of bytes, at least 1
         * @throws IOException if they must not be processed; the parser then closes the connection
         */
        void onReceived(long bytes) throws IOException;
    }

    /** Number of bytes after which the event loop turns to its other connections. */
    private static final int MAXIMUM_TURN_BYTES = 64 << 10;

    private final Check check;
    private final TurnEnd turnEnd;
    private long count;
    private long turnBytes;

    /** Runs an action behind the present turn of the event loop. */
    @FunctionalInterface
    interface TurnEnd {
        /** Runs the action. */
        void then(Runnable action);
    }

    ReceivedBytes(StreamSourceConduit source, Check check, TurnEnd turnEnd) {
        super(source);
        this.check = check;
        this.turnEnd = turnEnd;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        if (turnBytes >= MAXIMUM_TURN_BYTES) {
            return 0;
        }
        int read = super.read(target);
        add(read);
        return read;
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        if (turnBytes >= MAXIMUM_TURN_BYTES) {
            return 0;
        }
        long read = super.read(targets, offset, length);
        add(read);
        return read;
    }

    /** Returns the number of bytes read since {@link #reset}, in bytes. */
    long count() {
        return count;
    }

    /**
     * Starts to count anew.
     *
     * @param alreadyRead bytes of the next request that have been read, at least 0
     */
    void reset(long alreadyRead) {
        count = alreadyRead;
    }

    private void add(long read) throws IOException {
        if (read <= 0) {
            return;
        }
        count += read;
        turnBytes += read;
        if (turnBytes >= MAXIMUM_TURN_BYTES) {
            turnEnd.then(() -> turnBytes = 0);
        }
        check.onReceived(read);
    }
}
