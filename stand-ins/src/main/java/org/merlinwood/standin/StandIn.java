package org.merlinwood.standin;

import java.net.InetSocketAddress;

/** A stand-in for an external system. Serves from construction until closed; thread-safe. */
public interface StandIn extends AutoCloseable {

    /**
     * Returns the address that the processes under test connect to.
     *
     * @return the public address with the port in use
     */
    InetSocketAddress address();

    /**
     * Returns the address on which tests control the stand-in.
     *
     * @return the address of the administration port
     */
    InetSocketAddress administrationAddress();

    /** Closes all connections and stops all threads. */
    @Override
    void close();
}
