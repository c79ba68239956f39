package org.merlinwood.http;

/** Handle of a request in progress. Thread-safe. */
public interface HttpStream {

    /**
     * Cancels the request and closes its connection. The listener receives a failure unless the response is already
     * complete.
     */
    void cancel();
}
