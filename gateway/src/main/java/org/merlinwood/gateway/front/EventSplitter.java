package org.merlinwood.gateway.front;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Cuts an event stream into whole events and remembers the number of the last one. Used by one thread, for one answer.
 *
 * <p>An event ends with an empty line. Lines end with a line feed, or a carriage return and a line feed.
 */
final class EventSplitter {

    private static final String NUMBER_FIELD = "id:";
    private static final byte[] NOTHING = {};

    private final ByteArrayOutputStream incomplete = new ByteArrayOutputStream();
    private OptionalLong lastEvent = OptionalLong.empty();

    /**
     * Takes bytes as they arrive.
     *
     * @param bytes the next bytes of the stream
     * @return the events that are whole now, possibly none
     */
    byte[] take(byte[] bytes) {
        incomplete.writeBytes(bytes);
        byte[] all = incomplete.toByteArray();
        int end = endOfLastEvent(all);
        if (end == 0) {
            return NOTHING;
        }
        byte[] whole = Arrays.copyOf(all, end);
        incomplete.reset();
        incomplete.write(all, end, all.length - end);
        rememberNumber(whole);
        return whole;
    }

    /** Returns what came behind the last whole event and forgets it. */
    byte[] rest() {
        byte[] rest = incomplete.toByteArray();
        incomplete.reset();
        return rest;
    }

    /** Number of the last whole event, or empty if none bore one. */
    OptionalLong lastEvent() {
        return lastEvent;
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

    private void rememberNumber(byte[] events) {
        String text = new String(events, StandardCharsets.ISO_8859_1);
        int field = Math.max(text.lastIndexOf("\n" + NUMBER_FIELD) + 1, text.startsWith(NUMBER_FIELD) ? 0 : -1);
        if (field < 0 || !text.startsWith(NUMBER_FIELD, field)) {
            return;
        }
        int lineEnd = text.indexOf('\n', field);
        String digits = text.substring(field + NUMBER_FIELD.length(), lineEnd).trim();
        if (!digits.isEmpty()
                && digits.length() < 10
                && digits.chars().allMatch(digit -> digit >= '0' && digit <= '9')) {
            lastEvent = OptionalLong.of(Long.parseLong(digits));
        }
    }
}
