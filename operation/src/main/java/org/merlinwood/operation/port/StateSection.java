package org.merlinwood.operation.port;

/** A section of the state dump of a process. */
public interface StateSection {

    /**
     * Returns the name of the section.
     *
     * @return a name in lower camel case, unique in its process
     */
    String name();

    /**
     * Returns the state as records, collections and simple values that Jackson can serialize. Called on a worker thread
     * of the operator server; may wait briefly for the control loop.
     *
     * @return the state; must not contain secrets
     */
    Object state();
}
