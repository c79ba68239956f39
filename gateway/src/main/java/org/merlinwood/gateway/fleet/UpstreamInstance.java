package org.merlinwood.gateway.fleet;

import java.net.InetSocketAddress;

/**
 * One life of one upstream, as it registered itself. Immutable.
 *
 * @param identifier names this life; a restart mostly brings another
 * @param service name of its service
 * @param address numeric address of its HTTP port
 * @param domain its failure domain
 * @param slots requests that it runs at once
 * @param leaving whether it takes no new work
 * @param stage the part that it plays
 */
public record UpstreamInstance(
        String identifier,
        String service,
        InetSocketAddress address,
        String domain,
        int slots,
        boolean leaving,
        Stage stage) {

    /**
     * Returns this instance with another stage.
     *
     * @param other the stage
     * @return a copy
     */
    public UpstreamInstance withStage(Stage other) {
        return new UpstreamInstance(identifier, service, address, domain, slots, leaving, other);
    }
}
