package org.merlinwood.protocol.impl;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.TooLongFrameException;
import java.io.IOException;
import java.util.List;
import org.merlinwood.wire.Frame;

/**
 * Encodes and decodes frames with a length prefix of four bytes. Each connection has its own codec, confined to its
 * event loop.
 *
 * <p>The maximum frame size is small at first and raised once the peer is authenticated, so that unauthenticated
 * clients can't make the process buffer much data.
 */
final class FrameCodec extends ByteToMessageCodec<Frame> {

    private static final int LENGTH_BYTES = 4;

    private int maximumFrameBytes;

    FrameCodec(int maximumFrameBytes) {
        this.maximumFrameBytes = maximumFrameBytes;
    }

    void raiseLimit(int bytes) {
        maximumFrameBytes = bytes;
    }

    @Override
    protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf output) throws IOException {
        int size = frame.getSerializedSize();
        output.ensureWritable(LENGTH_BYTES + size);
        output.writeInt(size);
        try (ByteBufOutputStream stream = new ByteBufOutputStream(output)) {
            frame.writeTo(stream);
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output) throws IOException {
        if (input.readableBytes() < LENGTH_BYTES) {
            return;
        }
        int size = input.getInt(input.readerIndex());
        if (size < 0 || size > maximumFrameBytes) {
            throw new TooLongFrameException(
                    "frame of " + Integer.toUnsignedString(size) + " bytes exceeds the maximum size");
        }
        if (input.readableBytes() < LENGTH_BYTES + size) {
            return;
        }
        input.skipBytes(LENGTH_BYTES);
        try (ByteBufInputStream stream = new ByteBufInputStream(input.readSlice(size))) {
            output.add(Frame.parseFrom(stream));
        }
    }
}
