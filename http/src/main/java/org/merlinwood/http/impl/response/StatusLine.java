package org.merlinwood.http.impl.response;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * First line of a response.
 *
 * @param minorVersion 0 for HTTP/1.0, otherwise that of a later version
 * @param status the number
 */
record StatusLine(int minorVersion, int status) {

    /** Status of the one interim response that is skipped. */
    static final int CONTINUE = 100;

    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private static final Pattern GRAMMAR = Pattern.compile("HTTP/[0-9]\\.([0-9]) ([0-9]{3}) .*", Pattern.DOTALL);

    /**
     * Parses a line.
     *
     * @param line the line, without its end
     * @return the status line
     * @throws MalformedResponseException if the line is none
     */
    static StatusLine parse(String line) throws MalformedResponseException {
        Matcher matcher = GRAMMAR.matcher(line);
        if (!matcher.matches()) {
            throw new MalformedResponseException("the first line is no status line");
        }
        return new StatusLine(Integer.parseInt(matcher.group(1)), Integer.parseInt(matcher.group(2)));
    }

    /** Returns whether a final response follows this one. */
    boolean isInterim() {
        return status == CONTINUE;
    }

    /** Returns whether a response with this status may have a body, if its request allows one. */
    boolean allowsBody() {
        return status != NO_CONTENT && status != NOT_MODIFIED;
    }
}
