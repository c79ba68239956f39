package org.merlinwood.http.impl.response;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the lines that tell the sizes of chunks. */
final class ChunkSize {

    /** Hexadecimal digits, and extensions behind a semicolon. Blanks are allowed only in front of that. */
    private static final Pattern GRAMMAR = Pattern.compile("0*([0-9A-Fa-f]{1,15})(?:[ \\t]*;.*)?", Pattern.DOTALL);

    private static final int HEXADECIMAL = 16;

    private ChunkSize() {}

    /**
     * Parses a line.
     *
     * @param line the line, without its end
     * @return the size of the chunk, in bytes; 0 for the last one
     * @throws MalformedResponseException if the line tells no size
     */
    static long parse(String line) throws MalformedResponseException {
        Matcher matcher = GRAMMAR.matcher(line);
        if (!matcher.matches()) {
            throw new MalformedResponseException("a line that should tell the size of a chunk doesn't");
        }
        return Long.parseLong(matcher.group(1), HEXADECIMAL);
    }
}
