package org.merlinwood.sidecar.query;

import java.util.Optional;
import org.merlinwood.wire.Frame;

/**
 * Reads the response to a {@link PeerQuery}, and receives its result. All methods are called on the control thread.
 *
 * @param <T> type of the result
 */
public interface QueryResponse<T> {

    /**
     * Reads a frame of the response. May be called again after the end, to no effect.
     *
     * @param frame the frame
     * @return the result, if the response is complete with this frame
     */
    Optional<T> read(Frame frame);

    /**
     * Returns the result if the peer can't be reached or does not respond completely within the timeout.
     *
     * @return the result of a query without a response
     */
    T withoutResponse();

    /**
     * Called exactly once for each query.
     *
     * @param result the result
     */
    void onEnd(T result);
}
