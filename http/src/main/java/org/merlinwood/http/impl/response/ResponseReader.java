package org.merlinwood.http.impl.response;

import java.nio.ByteBuffer;

/**
 * Reads the heads that one connection receives, and refuses those that don't tell where their body ends. The grammar is
 * narrow: it has what servers write, and nothing that one reader understands in another way than the next. Created once
 * for each connection; confined to the I/O thread of that.
 *
 * <p>What it has read is judged, not kept: the response is parsed by whoever gets the same bytes next. Behind a
 * complete response, and before the first request, any bytes are surplus.
 */
public final class ResponseReader {

    /** What the next bytes belong to. */
    private enum Part {
        STATUS_LINE,
        FIELD_LINE,
        BODY,
        NONE
    }

    private final LineBuffer line = new LineBuffer();
    private Part part = Part.NONE;
    private ResponseHead head;
    private boolean bodyAllowed;

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
     * @param bytes the bytes, all of which are consumed
     * @throws MalformedResponseException if they are no part of a response; nothing may be read behind them
     */
    public void read(ByteBuffer bytes) throws MalformedResponseException {
        while (bytes.hasRemaining()) {
            switch (part) {
                case STATUS_LINE, FIELD_LINE -> readLine(bytes);
                case BODY, NONE -> bytes.position(bytes.limit());
            }
        }
    }

    private void readLine(ByteBuffer bytes) throws MalformedResponseException {
        if (!line.read(bytes)) {
            return;
        }
        String text = line.take();
        part = switch (part) {
            case STATUS_LINE -> afterStatusLine(text);
            case FIELD_LINE -> afterFieldLine(text);
            case BODY, NONE -> throw new IllegalStateException("no line is expected in " + part);
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

    private static Part beginBody(BodyFraming framing) {
        return switch (framing) {
            case BodyFraming.NoBody none -> Part.NONE;
            case BodyFraming.Length length -> Part.BODY;
            case BodyFraming.Chunks chunks -> Part.BODY;
            case BodyFraming.UntilEnd untilEnd -> Part.BODY;
        };
    }
}
