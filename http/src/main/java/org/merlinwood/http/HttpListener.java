package org.merlinwood.http;

import java.util.List;
import org.merlinwood.core.result.Failure;

/**
 * Receives one streamed answer. Called on an I/O thread, in order, never by two threads at once; must not block.
 *
 * <p>Exactly one of {@link #onEnd()} and {@link #onFailure(Failure)} is called, last.
 */
public interface HttpListener {

    /**
     * Receives status and headers.
     *
     * @param status the HTTP status
     * @param headers the headers
     */
    void onHead(int status, List<HttpHeader> headers);

    /**
     * Receives a part of the body.
     *
     * @param bytes a part, owned by the listener
     */
    void onBytes(byte[] bytes);

    /** The answer is whole. */
    void onEnd();

    /**
     * The call failed. {@link Failure#executionState()} is {@code NOT_RUN} only if no byte of the call was handed to a
     * connection.
     *
     * @param failure what failed
     */
    void onFailure(Failure failure);
}
