package org.merlinwood.gateway.front;

import java.util.List;
import org.merlinwood.http.HttpHeader;

/**
 * The way back to one caller, for one request. Used by the event loop alone.
 *
 * <p>Either {@link #respond} is called once, or {@link #begin} once, {@link #write} any number of times and then
 * {@link #end} or {@link #abort}. Calls after the end, or after the caller left, have no effect.
 */
public interface CallerChannel {

    /**
     * Sends a whole answer.
     *
     * @param status HTTP status
     * @param headers headers besides the length
     * @param body the body
     */
    void respond(int status, List<HttpHeader> headers, byte[] body);

    /**
     * Begins a streamed answer.
     *
     * @param status HTTP status
     * @param headers headers besides the length
     */
    void begin(int status, List<HttpHeader> headers);

    /**
     * Sends a part of a streamed answer.
     *
     * @param part the bytes, owned by the channel from now on
     */
    void write(byte[] part);

    /** Ends a streamed answer as whole. */
    void end();

    /** Closes the connection so that the answer can't pass as whole. */
    void abort();

    /**
     * Sets what happens when the caller leaves before its answer is whole.
     *
     * @param action called at most once
     */
    void onDisconnect(Runnable action);
}
