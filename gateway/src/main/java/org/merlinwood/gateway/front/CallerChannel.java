package org.merlinwood.gateway.front;

import java.util.List;
import org.merlinwood.http.HttpHeader;

/**
 * Sends the response to one request of a caller. Used by the event loop alone.
 *
 * <p>Either {@link #respond} is called once, or {@link #begin} once, {@link #write} any number of times and then
 * {@link #end} or {@link #abort}. Calls after the end of the response or after the caller has disconnected have no
 * effect.
 */
public interface CallerChannel {

    /**
     * Sends a complete response. If a streamed response has begun, which can't be replaced, closes the connection, as
     * {@link #abort()} does.
     *
     * @param status HTTP status
     * @param headers all headers except those that frame the body
     * @param body the body
     */
    void respond(int status, List<HttpHeader> headers, byte[] body);

    /**
     * Starts a streamed response.
     *
     * @param status HTTP status
     * @param headers all headers except those that frame the body
     */
    void begin(int status, List<HttpHeader> headers);

    /**
     * Sends a part of a streamed response.
     *
     * @param part the bytes; not copied, so they must not be changed afterwards
     */
    void write(byte[] part);

    /** Completes a streamed response. */
    void end();

    /** Closes the connection without completing the response, so that the caller sees that it is truncated. */
    void abort();

    /**
     * Sets the action to run if the caller disconnects before its response is complete.
     *
     * @param action run at most once
     */
    void onDisconnect(Runnable action);
}
