package org.merlinwood.standin.impl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Reads and writes the JSON bodies of the stand-ins. Stateless and thread-safe. */
public final class Json {

    private static final ObjectMapper MAPPER =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private Json() {}

    /**
     * Reads a JSON body. Ignores unknown properties.
     *
     * @param body JSON in UTF-8
     * @param type the record type to read
     * @return the value
     * @throws MalformedBodyException if the body is not JSON, is null or does not fit the type
     */
    public static <T> T read(byte[] body, Class<T> type) {
        try {
            T value = MAPPER.readValue(body, type);
            if (value == null) {
                throw new MalformedBodyException("the body is null");
            }
            return value;
        } catch (IOException exception) {
            throw new MalformedBodyException(exception.getMessage());
        }
    }

    /**
     * Writes a value as JSON text.
     *
     * @param value a record
     * @return its JSON, without line breaks
     */
    public static String text(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("cannot write the value as JSON", exception);
        }
    }

    /**
     * Writes a value as one line of JSON.
     *
     * @param value a record
     * @return its JSON in UTF-8, ending with a line break
     */
    public static byte[] line(Object value) {
        return (text(value) + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Thrown for a body or parameter that cannot be parsed. The message becomes the error of the response. */
    public static final class MalformedBodyException extends RuntimeException {
        MalformedBodyException(String message) {
            super(message);
        }
    }
}
