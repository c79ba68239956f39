package org.merlinwood.gateway.front;

/** Where callers connect, as the end of an entry uses it. Confined to the event loop. */
public interface CallerEndpoint {

    /**
     * Accepts each connection that the operating system holds for this process, and stops listening. The connections
     * stay open; connecting fails from then on. Takes effect within the present turn of the event loop.
     */
    void stopListening();

    /**
     * Closes each connection on which nothing is expected any more: those that have been used and are idle, and those
     * that have been open for some time without a first request. What lies unread in a connection is read before, and a
     * connection that turns out to hold a request, or a part of one, is left open. Takes effect within the present turn
     * of the event loop.
     *
     * @param unusedMillis time for which a connection is kept for its first request, in milliseconds, at least 0
     */
    void closeIdleConnections(long unusedMillis);

    /**
     * Returns the number of open connections.
     *
     * @return the number, at least 0
     */
    int openConnections();

    /** Records every connection that has an unanswered request as ended by the exit. */
    void recordExit();

    /**
     * Returns the number of open connections on which no request, or part of one, is unanswered.
     *
     * @return the number, at least 0
     */
    int connectionsWithoutRequest();
}
