package org.merlinwood.http.impl.response;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * First line of a response.
 *
 * @param minorVersion 0 or 1, for HTTP/1.0 or HTTP/1.1
 * @param status {@link #CONTINUE}, or a number from {@link #FIRST_FINAL_STATUS} to {@link #LAST_STATUS}
 */
record StatusLine(int minorVersion, int status) {

    /** Status of the one interim response that is skipped. */
    static final int CONTINUE = 100;

    /** Lowest status of a response that is not an interim one. */
    static final int FIRST_FINAL_STATUS = 200;

    /** Highest number that is a status. */
    static final int LAST_STATUS = 599;

    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private static final Pattern GRAMMAR = Pattern.compile("HTTP/1\\.([01]) ([0-9]{3}) .*", Pattern.DOTALL);

    /**
     * Parses a line.
     *
     * @param line the line, without its end
     * @return the status line
     * @throws MalformedResponseException if the line is none, or its number is no status of a final response
     */
    static StatusLine parse(String line) throws MalformedResponseException {
        Matcher matcher = GRAMMAR.matcher(line);
        if (!matcher.matches()) {
            throw new MalformedResponseException("the first line is no status line");
        }
        int status = Integer.parseInt(matcher.group(2));
        if (status != CONTINUE && (status < FIRST_FINAL_STATUS || status > LAST_STATUS)) {
            throw new MalformedResponseException("no status of a final response: " + status);
        }
        return new StatusLine(Integer.parseInt(matcher.group(1)), status);
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
