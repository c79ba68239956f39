package org.merlinwood.standin.plain;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What a marker in the body or query of a call makes the service do. */
public enum PlainFault {
    /** Nothing unusual. */
    NONE,
    /** Answers what is not HTTP. */
    GARBAGE,
    /** Runs, then cuts the connection in the middle of its answer. */
    TRUNCATE,
    /** Ends before it has run. */
    CRASH_BEFORE_RUN,
    /** Runs, then ends before it answers. */
    CRASH_AFTER_RUN,
    /** Runs, then answers with status 500. */
    ERROR;

    private static final Pattern MARKER = Pattern.compile("\\[fault ([A-Z_]+)]");
    private static final Pattern DURATION = Pattern.compile("\\[millis (\\d{1,6})]");

    /**
     * Finds the marker in a body.
     *
     * @param body text of the body, with {@code [fault NAME]} somewhere in it
     * @return the fault, {@link #NONE} where there is no marker
     */
    public static PlainFault in(String body) {
        Matcher matcher = MARKER.matcher(body);
        return matcher.find() ? valueOf(matcher.group(1)) : NONE;
    }

    /**
     * Finds how long a call is to take.
     *
     * @param body text of the body, with {@code [millis N]} somewhere in it
     * @return milliseconds, 0 where there is no marker
     */
    public static long millisIn(String body) {
        Matcher matcher = DURATION.matcher(body);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }
}
