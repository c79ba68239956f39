package org.merlinwood.http;

/**
 * Numbers of connections of a client, as of one moment.
 *
 * @param open established connections whose sockets are not closed yet
 * @param inUse connections that carry a request in progress
 * @param idle connections that are kept for reuse
 */
public record ConnectionCounts(int open, int inUse, int idle) {

    /**
     * Returns the number of connections that are still open although their request has ended and they are not kept for
     * reuse. The server behind such a connection cannot know that nobody waits for its response.
     *
     * @return number of connections, not negative
     */
    public int abandoned() {
        return Math.max(0, open - inUse - idle);
    }
}
