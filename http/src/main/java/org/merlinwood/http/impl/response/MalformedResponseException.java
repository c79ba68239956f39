package org.merlinwood.http.impl.response;

import java.io.IOException;

/** Thrown for bytes that are no response. The message states the rule that they break, without any of the bytes. */
public final class MalformedResponseException extends IOException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the rule that is broken, for logs
     */
    MalformedResponseException(String message) {
        super(message);
    }
}
