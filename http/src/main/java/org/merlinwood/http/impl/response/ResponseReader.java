package org.merlinwood.http.impl.response;

import java.nio.ByteBuffer;

/**
 * Reads the bytes that one connection receives, and refuses those that are no response. The grammar is narrow: it has
 * what servers write, and nothing that one reader understands in another way than the next. Created once for each
 * connection; confined to its I/O thread.
 *
 * <p>What it has read is judged, not kept: the response is parsed by whoever gets the same bytes next. Behind a
 * complete response, and before the first request, any bytes are surplus.
 */
public final class ResponseReader {

    /** What the next bytes belong to. */
    private enum Part {
        STATUS_LINE,
        FIELD_LINE,
        BODY_WITH_LENGTH,
        BODY_UNTIL_END,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER_LINE,
        NONE
    }

    private final LineBuffer line = new LineBuffer();
    private Part part = Part.NONE;
    private ResponseHead head;
    private boolean bodyAllowed;

    /** Bytes of the body with a length, or of the chunk, that have not been read. */
    private long bytesLeft;

    /**
     * Starts to read the response to a request.
     *
     * @param responseMayHaveBody false for a request whose response never has a body
     */
    public void begin(boolean responseMayHaveBody) {
        bodyAllowed = responseMayHaveBody;
        line.clear();
        part = Part.STATUS_LINE;
    }

    /**
     * Reads the next bytes.
     *
     * @param bytes the bytes, all of which are consumed; if some are refused, those of a head that ends among them
     *     alone
     * @throws MalformedResponseException if they are no part of a response; nothing may be read behind them
     */
    public void read(ByteBuffer bytes) throws MalformedResponseException {
        int headEnd = bytes.position();
        try {
            while (bytes.hasRemaining()) {
                boolean inHead = isInHead();
                readPart(bytes);
                headEnd = inHead && !isInHead() ? bytes.position() : headEnd;
            }
        } catch (MalformedResponseException malformed) {
            bytes.position(headEnd);
            throw malformed;
        }
    }

    private boolean isInHead() {
        return part == Part.STATUS_LINE || part == Part.FIELD_LINE;
    }

    private void readPart(ByteBuffer bytes) throws MalformedResponseException {
        switch (part) {
            case STATUS_LINE, FIELD_LINE, CHUNK_SIZE, TRAILER_LINE -> readLine(bytes);
            case CHUNK_END -> readChunkEnd(bytes);
            case BODY_WITH_LENGTH, CHUNK -> readBody(bytes);
            case BODY_UNTIL_END, NONE -> bytes.position(bytes.limit());
        }
    }

    /** Reads the end of the connection. */
    public void readEnd() {
        if (part == Part.BODY_UNTIL_END) {
            part = Part.NONE;
        }
    }

    /**
     * Returns whether the response is complete.
     *
     * @return true from its last byte on
     */
    public boolean isComplete() {
        return part == Part.NONE;
    }

    private void readLine(ByteBuffer bytes) throws MalformedResponseException {
        if (!line.read(bytes)) {
            return;
        }
        String text = line.take();
        part = switch (part) {
            case STATUS_LINE -> afterStatusLine(text);
            case FIELD_LINE -> afterFieldLine(text);
            case CHUNK_SIZE -> afterChunkSize(text);
            case TRAILER_LINE -> afterTrailerLine(text);
            case BODY_WITH_LENGTH, BODY_UNTIL_END, CHUNK, CHUNK_END, NONE ->
                throw new IllegalStateException("no line is expected in " + part);
        };
    }

    private Part afterStatusLine(String text) throws MalformedResponseException {
        head = new ResponseHead(StatusLine.parse(text));
        return Part.FIELD_LINE;
    }

    private Part afterFieldLine(String text) throws MalformedResponseException {
        if (!text.isEmpty()) {
            head.add(FieldLine.parse(text));
            return Part.FIELD_LINE;
        }
        return head.isInterim() ? Part.STATUS_LINE : beginBody(head.framing(bodyAllowed));
    }

    private Part beginBody(BodyFraming framing) {
        return switch (framing) {
            case BodyFraming.NoBody none -> Part.NONE;
            case BodyFraming.Length length -> beginBytes(Part.BODY_WITH_LENGTH, length.bytes(), Part.NONE);
            case BodyFraming.Chunks chunks -> Part.CHUNK_SIZE;
            case BodyFraming.UntilEnd untilEnd -> Part.BODY_UNTIL_END;
        };
    }

    private Part afterChunkSize(String text) throws MalformedResponseException {
        return beginBytes(Part.CHUNK, ChunkSize.parse(text), Part.TRAILER_LINE);
    }

    /** Returns the part that a number of bytes begin, or another one if there are none. */
    private Part beginBytes(Part begun, long bytes, Part otherwise) {
        bytesLeft = bytes;
        return bytes > 0 ? begun : otherwise;
    }

    private static Part afterTrailerLine(String text) throws MalformedResponseException {
        if (text.isEmpty()) {
            return Part.NONE;
        }
        FieldLine.parse(text);
        return Part.TRAILER_LINE;
    }

    private void readBody(ByteBuffer bytes) {
        int count = (int) Math.min(bytesLeft, bytes.remaining());
        bytes.position(bytes.position() + count);
        bytesLeft -= count;
        if (bytesLeft == 0) {
            part = part == Part.CHUNK ? Part.CHUNK_END : Part.NONE;
        }
    }

    /** Reads the line end behind a chunk. */
    private void readChunkEnd(ByteBuffer bytes) throws MalformedResponseException {
        boolean complete = line.read(bytes);
        if (line.hasText()) {
            throw new MalformedResponseException("a chunk is not followed by its line end");
        }
        if (complete) {
            line.clear();
            part = Part.CHUNK_SIZE;
        }
    }
}
