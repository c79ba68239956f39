package org.merlinwood.http.impl.response;

/**
 * One field of a head or of trailers.
 *
 * @param name the name
 * @param value the value, without blanks around it
 */
record FieldLine(String name, String value) {

    /**
     * Parses a line.
     *
     * @param line the line, without its end and not empty
     * @return the field; of a line without a colon, one without a value
     */
    static FieldLine parse(String line) {
        int colon = line.indexOf(':');
        return colon < 0
                ? new FieldLine(line.strip(), "")
                : new FieldLine(
                        line.substring(0, colon).strip(),
                        line.substring(colon + 1).strip());
    }
}
