package org.merlinwood.http.impl.response;

/**
 * One field of a head or of trailers.
 *
 * @param name the name, not empty
 * @param value the value, without blanks around it
 */
record FieldLine(String name, String value) {

    /** The characters of names that are neither letters nor digits. */
    private static final String OTHER_NAME_CHARACTERS = "!#$%&'*+-.^_`|~";

    /**
     * Parses a line. One that begins with a blank is no field, though it once was the rest of the field before it.
     *
     * @param line the line, without its end and not empty
     * @return the field
     * @throws MalformedResponseException if the line is no field
     */
    static FieldLine parse(String line) throws MalformedResponseException {
        int colon = line.indexOf(':');
        if (colon <= 0) {
            throw new MalformedResponseException("a line without a name and a colon is no field");
        }
        String name = line.substring(0, colon);
        if (!name.chars().allMatch(FieldLine::isAllowedInName)) {
            throw new MalformedResponseException("the name of a field contains a character that no name has");
        }
        return new FieldLine(name, line.substring(colon + 1).strip());
    }

    private static boolean isAllowedInName(int character) {
        return (character >= 'a' && character <= 'z')
                || (character >= 'A' && character <= 'Z')
                || (character >= '0' && character <= '9')
                || OTHER_NAME_CHARACTERS.indexOf(character) >= 0;
    }
}
