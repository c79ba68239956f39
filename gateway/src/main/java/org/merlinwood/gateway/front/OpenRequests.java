package org.merlinwood.gateway.front;

/** Counts the requests whose response is not complete yet. Used by the event loop alone. */
public final class OpenRequests {

    private int count;

    void increment() {
        count++;
    }

    void decrement() {
        count--;
    }

    /**
     * Returns the number of open requests.
     *
     * @return the number, at least 0
     */
    public int count() {
        return count;
    }
}
