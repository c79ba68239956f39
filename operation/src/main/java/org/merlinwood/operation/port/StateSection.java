package org.merlinwood.operation.port;

/** One section of a process's state dump. */
public interface StateSection {

    /**
     * Returns the name of the section.
     *
     * @return a name in lower camel case, unique in its process
     */
    String name();

    /**
     * Returns the state as records, lists and plain values that Jackson can write. Called on a worker thread; may wait
     * for the control thread for a short time.
     *
     * @return the state, without secrets
     */
    Object state();
}
