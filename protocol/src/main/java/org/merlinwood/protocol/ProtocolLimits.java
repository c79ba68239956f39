package org.merlinwood.protocol;

/**
 * Limits on the resources of connections. Immutable.
 *
 * @param maximumFrameBytes maximum size of a frame, in bytes
 * @param maximumHandshakeFrameBytes maximum size of a frame before the peer is authenticated, in bytes
 * @param handshakeMillis timeout for connecting and, separately, for the handshake, in milliseconds
 * @param heartbeatMillis time without a sent frame after which a heartbeat is sent, in milliseconds
 * @param silenceMillis time without a received frame after which the connection is closed, in milliseconds; both times
 *     apply only while an exchange is open
 * @param idleMillis how long a connection stays open without an exchange, in milliseconds
 * @param maximumUnauthenticated maximum number of accepted connections that are not authenticated yet
 * @param maximumExchanges maximum number of open exchanges on one connection; if a peer opens more, the connection is
 *     closed
 * @param maximumPendingBytes maximum number of bytes buffered for sending, above which the connection is closed
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
     * Returns the default limits.
     *
     * @return the defaults
     */
    public static ProtocolLimits defaults() {
        return DEFAULTS;
    }
}
