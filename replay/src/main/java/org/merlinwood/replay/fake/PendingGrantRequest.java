package org.merlinwood.replay.fake;

/** A grant request at a fake sidecar. It is closed once it has been granted, refused or withdrawn. Not thread-safe. */
public final class PendingGrantRequest {

    private final int pieces;
    private final int priority;
    private final long tokens;
    private final long latestStartMicros;
    private final GrantListener listener;
    private boolean closed;

    /**
     * Creates a request.
     *
     * @param pieces number of pieces of engine memory
     * @param priority priority of the caller's class; 0 is served first
     * @param tokens number of prompt tokens
     * @param latestStartMicros latest useful start, in microseconds of virtual time
     * @param listener receives the result
     */
    public PendingGrantRequest(int pieces, int priority, long tokens, long latestStartMicros, GrantListener listener) {
        this.pieces = pieces;
        this.priority = priority;
        this.tokens = tokens;
        this.latestStartMicros = latestStartMicros;
        this.listener = listener;
    }

    /**
     * Withdraws the request. It is neither granted nor refused afterwards; a result already on its way is still
     * delivered.
     */
    public void withdraw() {
        closed = true;
    }

    boolean close() {
        boolean wasOpen = !closed;
        closed = true;
        return wasOpen;
    }

    boolean isClosed() {
        return closed;
    }

    int pieces() {
        return pieces;
    }

    int priority() {
        return priority;
    }

    long tokens() {
        return tokens;
    }

    long latestStartMicros() {
        return latestStartMicros;
    }

    GrantListener listener() {
        return listener;
    }
}
