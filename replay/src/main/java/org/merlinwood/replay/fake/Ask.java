package org.merlinwood.replay.fake;

/** One request for a grant while it waits at a fake sidecar. */
public final class Ask {

    private final int pieces;
    private final int priority;
    private final long tokens;
    private final long latestStartMicros;
    private final GrantListener listener;
    private boolean closed;

    /**
     * Creates a request.
     *
     * @param pieces pieces of engine memory
     * @param priority priority of the caller's class, 0 first
     * @param tokens prompt tokens
     * @param latestStartMicros when it is useless to begin, in virtual microseconds
     * @param listener gets the answers
     */
    public Ask(int pieces, int priority, long tokens, long latestStartMicros, GrantListener listener) {
        this.pieces = pieces;
        this.priority = priority;
        this.tokens = tokens;
        this.latestStartMicros = latestStartMicros;
        this.listener = listener;
    }

    /** Withdraws the request: nothing is granted or refused from now on. */
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
