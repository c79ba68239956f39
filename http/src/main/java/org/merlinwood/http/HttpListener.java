package org.merlinwood.http;

import java.util.List;
import org.merlinwood.core.result.Failure;

/**
 * Receives one streamed response. Methods are called on an I/O thread, in order and never concurrently; they must not
 * block.
 *
 * <p>The last call is exactly one of {@link #onEnd()} and {@link #onFailure(Failure)}.
 */
public interface HttpListener {

    /**
     * Receives the status and the headers.
     *
     * @param status the HTTP status
     * @param headers the headers, in the order received
     */
    void onHead(int status, List<HttpHeader> headers);

    /**
     * Receives a part of the body.
     *
     * @param bytes the bytes; the listener owns the array
     */
    void onBytes(byte[] bytes);

    /** Called when the response is complete. */
    void onEnd();

    /**
     * Called when the request failed. {@link Failure#executionState()} is {@code NOT_RUN} only if no byte of the
     * request was passed to a connection.
     *
     * @param failure the cause
     */
    void onFailure(Failure failure);
}
