package org.merlinwood.standin.plain;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Fault of a plain service, selected by a marker in the body of a request or by a query parameter. */
public enum PlainFault {
    /** No fault. */
    NONE,
    /** Runs the request, then sends bytes that are not HTTP. */
    GARBAGE,
    /** Runs the request, then aborts the connection halfway through the response body. */
    TRUNCATE,
    /** Crashes before it runs the request. */
    CRASH_BEFORE_RUN,
    /** Runs the request, then crashes before it responds. */
    CRASH_AFTER_RUN,
    /** Runs the request, then responds with status 500. */
    ERROR;

    private static final Pattern MARKER = Pattern.compile("\\[fault ([A-Z_]+)]");
    private static final Pattern DURATION = Pattern.compile("\\[millis (\\d{1,6})]");

    /**
     * Parses the fault marker of a body.
     *
     * @param body text of the body, which may contain {@code [fault NAME]}
     * @return the fault, {@link #NONE} without a marker
     */
    public static PlainFault parse(String body) {
        Matcher matcher = MARKER.matcher(body);
        return matcher.find() ? valueOf(matcher.group(1)) : NONE;
    }

    /**
     * Parses the duration marker of a body.
     *
     * @param body text of the body, which may contain {@code [millis N]}
     * @return how long the request runs, in milliseconds; 0 without a marker
     */
    public static long parseMillis(String body) {
        Matcher matcher = DURATION.matcher(body);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }
}
