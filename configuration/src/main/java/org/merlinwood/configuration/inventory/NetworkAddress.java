package org.merlinwood.configuration.inventory;

import java.net.InetSocketAddress;

/**
 * A numeric IP address with a port. Immutable.
 *
 * @param host numeric IPv4 or IPv6 address, without brackets
 * @param port between 1 and 65,535
 */
public record NetworkAddress(String host, int port) {

    private static final int MAXIMUM_PORT = 65_535;
    private static final String OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";
    private static final String NUMERIC_PATTERN = OCTET + "(?:\\." + OCTET + "){3}|[0-9A-Fa-f:.]*:[0-9A-Fa-f:.]*";

    /**
     * Checks that the host is not blank and that the port is in range.
     *
     * @throws IllegalArgumentException if either is invalid
     */
    public NetworkAddress {
        if (host == null || host.isBlank()) {
            throw new IllegalArgumentException("the address has no IP");
        }
        if (port < 1 || port > MAXIMUM_PORT) {
            throw new IllegalArgumentException("port " + port + " is not between 1 and " + MAXIMUM_PORT);
        }
    }

    /**
     * Parses an address such as {@code 127.0.0.1:7001} or {@code [::1]:7001}. Host names are rejected, not resolved.
     *
     * @param text host and port
     * @return the address
     * @throws IllegalArgumentException if the text is not a numeric IP address with a port
     */
    public static NetworkAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("'" + text + "' does not have the form IP:PORT");
        }
        String host = text.substring(0, colon);
        if (host.startsWith("[") && host.endsWith("]")) {
            host = host.substring(1, host.length() - 1);
        }
        if (!host.matches(NUMERIC_PATTERN)) {
            throw new IllegalArgumentException("'" + host + "' is not a numeric IP address");
        }
        try {
            return new NetworkAddress(host, Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException exception) {
            throw new IllegalArgumentException("'" + text + "' has no numeric port", exception);
        }
    }

    /**
     * Returns the address in the form that connections and servers take. Nothing is resolved, as the host is numeric.
     *
     * @return a new socket address
     */
    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(host, port);
    }

    @Override
    public String toString() {
        return host.contains(":") ? "[" + host + "]:" + port : host + ":" + port;
    }
}
