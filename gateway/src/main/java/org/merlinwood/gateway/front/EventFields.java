package org.merlinwood.gateway.front;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * The grammar of the lines of server-sent events: a name and a value behind a colon, a comment behind a colon, or the
 * name alone of a field that events have. Sizes of chunks, heads and texts of errors are none of these. Stateless.
 */
final class EventFields {

    /** A line, without its end, and not empty. Values may have any bytes. */
    private static final Pattern FIELD_LINE =
            Pattern.compile("(?:[A-Za-z][A-Za-z0-9_-]*)?:.*|data|event|id|retry", Pattern.DOTALL);

    private static final Pattern LINE_END = Pattern.compile("\r?\n");

    private EventFields() {}

    /**
     * Returns whether all lines of complete events can be such.
     *
     * @param events the bytes of complete events, with their ends
     * @return false if there is a line that is no field
     */
    static boolean areSound(byte[] events) {
        return LINE_END.splitAsStream(new String(events, StandardCharsets.ISO_8859_1))
                .allMatch(line -> line.isEmpty() || FIELD_LINE.matcher(line).matches());
    }
}
