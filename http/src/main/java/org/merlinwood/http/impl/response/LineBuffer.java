package org.merlinwood.http.impl.response;

import java.nio.ByteBuffer;

/**
 * Collects the bytes of one line after the other. A line ends with a carriage return and a line feed and contains no
 * other control byte but tabs. Not thread-safe.
 */
final class LineBuffer {

    private static final int FIRST_PRINTABLE_BYTE = ' ';
    private static final int DELETE_BYTE = 0x7f;
    private static final int BYTE_MASK = 0xff;

    private final StringBuilder text = new StringBuilder();
    private boolean afterCarriageReturn;

    /** Discards an incomplete line. */
    void clear() {
        text.setLength(0);
        afterCarriageReturn = false;
    }

    /** Returns whether the current line has a byte before its line end. */
    boolean hasText() {
        return text.length() > 0;
    }

    /**
     * Takes bytes up to the end of the line.
     *
     * @param bytes the bytes; those of the line are consumed
     * @return whether the line is complete
     * @throws MalformedResponseException if the bytes can't be part of a line
     */
    boolean read(ByteBuffer bytes) throws MalformedResponseException {
        while (bytes.hasRemaining()) {
            int next = bytes.get() & BYTE_MASK;
            if (afterCarriageReturn) {
                requireLineFeed(next);
                return true;
            }
            if (next == '\r') {
                afterCarriageReturn = true;
            } else {
                append(next);
            }
        }
        return false;
    }

    private static void requireLineFeed(int next) throws MalformedResponseException {
        if (next != '\n') {
            throw new MalformedResponseException("a carriage return without a line feed");
        }
    }

    private void append(int next) throws MalformedResponseException {
        boolean control = (next < FIRST_PRINTABLE_BYTE && next != '\t') || next == DELETE_BYTE;
        if (control) {
            throw new MalformedResponseException("a control byte in a line");
        }
        text.append((char) next);
    }

    /** Returns the complete line, a character for each byte, without its end; the next line begins. */
    String take() {
        String line = text.toString();
        clear();
        return line;
    }
}
