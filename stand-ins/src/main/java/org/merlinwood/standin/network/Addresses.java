package org.merlinwood.standin.network;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Numeric addresses of the shape {@code IP:PORT}. Stateless. */
public final class Addresses {

    private Addresses() {}

    /**
     * Parses an address. Resolves no names.
     *
     * @param text host and port; port 0 lets the system choose where it is listened on
     * @return the address
     * @throws IllegalArgumentException if the text has another shape
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9A-Fa-f:.]+]")) {
            throw new IllegalArgumentException("'" + text + "' is not of the shape IP:PORT");
        }
        try {
            InetAddress host = InetAddress.getByName(text.substring(0, colon));
            return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException exception) {
            throw new IllegalArgumentException("'" + text + "' has no numeric host", exception);
        }
    }

    /**
     * Writes an address.
     *
     * @param address the address
     * @return {@code IP:PORT}
     */
    public static String text(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    /**
     * Returns an address of the loopback interface.
     *
     * @return port 0
     */
    public static InetSocketAddress anyLoopback() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }
}
