package org.merlinwood.http;

/** A call under way. Thread-safe. */
public interface HttpStream {

    /** Ends the call and closes its connection; the listener gets a failure unless the answer has ended. */
    void cancel();
}
