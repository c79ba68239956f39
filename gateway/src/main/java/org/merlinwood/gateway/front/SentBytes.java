package org.merlinwood.gateway.front;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSourceChannel;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.StreamSinkConduit;

/** Tells when a connection takes bytes, so that a caller that reads slowly is told from one that does not read. */
final class SentBytes extends AbstractStreamSinkConduit<StreamSinkConduit> {

    private final Runnable onSent;

    SentBytes(StreamSinkConduit sink, Runnable onSent) {
        super(sink);
        this.onSent = onSent;
    }

    @Override
    public int write(ByteBuffer source) throws IOException {
        return (int) record(super.write(source));
    }

    @Override
    public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
        return record(super.write(sources, offset, length));
    }

    @Override
    public int writeFinal(ByteBuffer source) throws IOException {
        return (int) record(super.writeFinal(source));
    }

    @Override
    public long writeFinal(ByteBuffer[] sources, int offset, int length) throws IOException {
        return record(super.writeFinal(sources, offset, length));
    }

    @Override
    public long transferFrom(FileChannel source, long position, long count) throws IOException {
        return record(super.transferFrom(source, position, count));
    }

    @Override
    public long transferFrom(StreamSourceChannel source, long count, ByteBuffer throughBuffer) throws IOException {
        return record(super.transferFrom(source, count, throughBuffer));
    }

    private long record(long sent) {
        if (sent > 0) {
            onSent.run();
        }
        return sent;
    }
}
