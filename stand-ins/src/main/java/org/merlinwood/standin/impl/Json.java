package org.merlinwood.standin.impl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** JSON of the stand-ins' bodies. Stateless and thread-safe. */
public final class Json {

    private static final ObjectMapper MAPPER =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private Json() {}

    /**
     * Reads a body.
     *
     * @param body JSON in UTF-8
     * @param type the record to be read
     * @return the value
     * @throws MalformedBodyException if the body is not JSON of this shape
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
     * Writes a body.
     *
     * @param value a record
     * @return its JSON on one line
     */
    public static String text(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("a record could not be written as JSON", exception);
        }
    }

    /**
     * Writes a body as one line of bytes.
     *
     * @param value a record
     * @return its JSON in UTF-8 with a final line break
     */
    public static byte[] line(Object value) {
        return (text(value) + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /** A body that is not what the interface says. */
    public static final class MalformedBodyException extends RuntimeException {
        MalformedBodyException(String message) {
            super(message);
        }
    }
}
