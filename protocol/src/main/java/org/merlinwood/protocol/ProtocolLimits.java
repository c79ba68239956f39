package org.merlinwood.protocol;

/**
 * Bounds on what a connection may cost. Immutable.
 *
 * @param maximumFrameBytes size of a frame at most, in bytes
 * @param maximumHandshakeFrameBytes size of a frame before the peer is authenticated, in bytes
 * @param handshakeMillis how long connecting and authenticating may take, in milliseconds
 * @param heartbeatMillis silence on the sending side after which a heartbeat goes out, in milliseconds
 * @param silenceMillis silence of the peer after which the connection counts as lost, in milliseconds
 * @param idleMillis how long a connection without an exchange stays open, in milliseconds
 * @param maximumUnauthenticated accepted connections that have not authenticated yet, at most
 * @param maximumExchanges exchanges open on one connection at most
 * @param maximumPendingBytes bytes not yet taken by the network, at most
 */
public record ProtocolLimits(
        int maximumFrameBytes,
        int maximumHandshakeFrameBytes,
        long handshakeMillis,
        long heartbeatMillis,
        long silenceMillis,
        long idleMillis,
        int maximumUnauthenticated,
        int maximumExchanges,
        int maximumPendingBytes) {

    private static final ProtocolLimits DEFAULTS =
            new ProtocolLimits(8 << 20, 4 << 10, 2_000, 400, 1_250, 5_000, 512, 4_096, 32 << 20);

    /**
     * Returns the bounds used unless a builder sets others.
     *
     * @return the defaults
     */
    public static ProtocolLimits defaults() {
        return DEFAULTS;
    }
}
