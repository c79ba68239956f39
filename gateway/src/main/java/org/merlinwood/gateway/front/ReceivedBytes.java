package org.merlinwood.gateway.front;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/** Counts the bytes that are read from a connection since the end of its last request. Confined to the event loop. */
final class ReceivedBytes extends AbstractStreamSourceConduit<StreamSourceConduit> {

    private long count;

    ReceivedBytes(StreamSourceConduit source) {
        super(source);
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        int read = super.read(target);
        add(read);
        return read;
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
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

    private void add(long read) {
        if (read > 0) {
            count += read;
        }
    }
}
