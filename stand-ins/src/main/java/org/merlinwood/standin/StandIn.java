package org.merlinwood.standin;

import java.net.InetSocketAddress;

/** One stand-in that serves until it is closed. Thread-safe. */
public interface StandIn extends AutoCloseable {

    /**
     * Returns where the processes under test connect.
     *
     * @return the public address
     */
    InetSocketAddress address();

    /**
     * Returns where tests give commands.
     *
     * @return the address of the administration port
     */
    InetSocketAddress administrationAddress();

    /** Ends all connections and threads. */
    @Override
    void close();
}
