package org.merlinwood.gateway.front;

/** Counts requests that are not answered yet. Used by the event loop alone. */
public final class OpenRequests {

    private int count;

    void opened() {
        count++;
    }

    void closed() {
        count--;
    }

    /**
     * Returns how many requests are open.
     *
     * @return the count
     */
    public int count() {
        return count;
    }
}
