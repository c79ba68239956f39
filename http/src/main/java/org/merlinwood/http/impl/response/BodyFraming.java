package org.merlinwood.http.impl.response;

/** How a response tells where its body ends. */
sealed interface BodyFraming {

    /** There is no body, whatever the head says. */
    record NoBody() implements BodyFraming {}

    /**
     * The head states the length.
     *
     * @param bytes length of the body, in bytes, not negative
     */
    record Length(long bytes) implements BodyFraming {}

    /** The body comes in chunks, each behind its size, and ends with one of size 0 and the trailers. */
    record Chunks() implements BodyFraming {}

    /** The body ends with the connection. */
    record UntilEnd() implements BodyFraming {}
}
