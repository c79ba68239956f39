package org.merlinwood.gateway.front;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Splits a server-sent event stream into complete events and records the number of the last one. Not thread-safe; used
 * for one response.
 *
 * <p>An event ends with an empty line. Lines end with a line feed, or a carriage return and a line feed.
 */
final class EventSplitter {

    /** Size limit of an event, in bytes: many times that of an event with the tokens of one step. */
    static final int MAXIMUM_EVENT_BYTES = 64 << 10;

    private static final String ID_FIELD = "id:";
    private static final byte[] NO_BYTES = {};

    private final ByteArrayOutputStream incomplete = new ByteArrayOutputStream();
    private OptionalLong lastEventNumber = OptionalLong.empty();
    private boolean malformed;

    /**
     * Appends bytes of the stream and returns the events that they complete.
     *
     * @param bytes the next bytes of the stream
     * @return the bytes of the events that are complete now; empty if there are none, or one has a line that is no
     *     field
     */
    byte[] split(byte[] bytes) {
        incomplete.writeBytes(bytes);
        byte[] received = incomplete.toByteArray();
        int end = endOfLastEvent(received);
        if (end == 0) {
            return NO_BYTES;
        }
        byte[] completeEvents = Arrays.copyOf(received, end);
        if (!EventFields.areSound(completeEvents)) {
            malformed = true;
            return NO_BYTES;
        }
        incomplete.reset();
        incomplete.write(received, end, received.length - end);
        updateLastEventNumber(completeEvents);
        return completeEvents;
    }

    /** Returns whether an event had a line that is no field; no event is returned from then on. */
    boolean isMalformed() {
        return malformed;
    }

    /** Returns whether the event that is not complete yet is larger than {@link #MAXIMUM_EVENT_BYTES}. */
    boolean exceedsLimit() {
        return incomplete.size() > MAXIMUM_EVENT_BYTES;
    }

    /** Returns whether there are bytes after the last complete event: a stream that ends now is broken off. */
    boolean isInsideEvent() {
        return incomplete.size() > 0;
    }

    /** Discards the bytes after the last event that was returned. */
    void discardIncomplete() {
        malformed = false;
        incomplete.reset();
    }

    /** Returns the last number in an {@code id} field of a complete event, or empty if there was none. */
    OptionalLong lastEventNumber() {
        return lastEventNumber;
    }

    private static int endOfLastEvent(byte[] bytes) {
        int end = 0;
        int lineLength = 0;
        for (int index = 0; index < bytes.length; index++) {
            if (bytes[index] == '\n') {
                if (lineLength == 0) {
                    end = index + 1;
                }
                lineLength = 0;
            } else if (bytes[index] != '\r') {
                lineLength++;
            }
        }
        return end;
    }

    private void updateLastEventNumber(byte[] events) {
        String text = new String(events, StandardCharsets.ISO_8859_1);
        int field = Math.max(text.lastIndexOf("\n" + ID_FIELD) + 1, text.startsWith(ID_FIELD) ? 0 : -1);
        if (field < 0 || !text.startsWith(ID_FIELD, field)) {
            return;
        }
        int lineEnd = text.indexOf('\n', field);
        String digits = text.substring(field + ID_FIELD.length(), lineEnd).trim();
        if (!digits.isEmpty()
                && digits.length() < 10
                && digits.chars().allMatch(digit -> digit >= '0' && digit <= '9')) {
            lastEventNumber = OptionalLong.of(Long.parseLong(digits));
        }
    }
}
