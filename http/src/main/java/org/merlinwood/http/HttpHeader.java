package org.merlinwood.http;

import java.util.List;
import java.util.Optional;

/**
 * A header field.
 *
 * @param name the name, case-insensitive
 * @param value the value, without line breaks
 */
public record HttpHeader(String name, String value) {

    /**
     * Returns the value of the first header with a name.
     *
     * @param headers the headers of one message
     * @param name the name, in any case
     * @return its value, or empty if there is none
     */
    public static Optional<String> find(List<HttpHeader> headers, String name) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(HttpHeader::value)
                .findFirst();
    }
}
