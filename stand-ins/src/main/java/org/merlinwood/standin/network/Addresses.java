package org.merlinwood.standin.network;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses and formats numeric socket addresses of the form {@code IP:PORT}. Stateless. */
public final class Addresses {

    private Addresses() {}

    /**
     * Parses an address without resolving host names.
     *
     * @param text numeric host and port, IPv6 hosts in brackets; listening on port 0 selects a free port
     * @return the address
     * @throws IllegalArgumentException if the text is not of this form
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9A-Fa-f:.]+]")) {
            throw new IllegalArgumentException("'" + text + "' is not of the form IP:PORT");
        }
        try {
            InetAddress host = InetAddress.getByName(text.substring(0, colon));
            return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException exception) {
            throw new IllegalArgumentException("'" + text + "' has no numeric host", exception);
        }
    }

    /**
     * Formats an address.
     *
     * @param address a resolved address
     * @return {@code IP:PORT}, IPv6 hosts in brackets
     */
    public static String text(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    /**
     * Returns the address for listening on a free port of the loopback interface.
     *
     * @return the loopback address with port 0
     */
    public static InetSocketAddress anyLoopback() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }
}
