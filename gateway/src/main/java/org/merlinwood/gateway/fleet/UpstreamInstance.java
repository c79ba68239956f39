package org.merlinwood.gateway.fleet;

import java.net.InetSocketAddress;

/**
 * One incarnation of an upstream, as registered in the configuration store. Immutable.
 *
 * @param identifier identifier of this incarnation; usually changes with a restart
 * @param service name of the service that it belongs to
 * @param address resolved address of its HTTP port
 * @param domain its failure domain
 * @param slots number of requests that it runs concurrently
 * @param leaving whether it is draining and accepts no new work
 * @param stage kind of work that it performs
 * @param startedUnixMillis when it started by its own clock, in milliseconds of Unix time, or {@link #UNKNOWN_START};
 *     only tells incarnations with the same identifier apart
 * @param version version of its software, as it names it; two versions are the same if their texts are, and neither is
 *     the later one
 */
public record UpstreamInstance(
        String identifier,
        String service,
        InetSocketAddress address,
        String domain,
        int slots,
        boolean leaving,
        Stage stage,
        long startedUnixMillis,
        String version) {

    /** Start of an instance that doesn't tell it. */
    public static final long UNKNOWN_START = 0;

    /**
     * Returns a copy of this instance with another stage.
     *
     * @param newStage stage of the copy
     * @return the copy
     */
    public UpstreamInstance withStage(Stage newStage) {
        return new UpstreamInstance(
                identifier, service, address, domain, slots, leaving, newStage, startedUnixMillis, version);
    }

    /**
     * Returns a copy of this instance with another start.
     *
     * @param newStartedUnixMillis new start
     * @return the copy
     */
    public UpstreamInstance withStart(long newStartedUnixMillis) {
        return new UpstreamInstance(
                identifier, service, address, domain, slots, leaving, stage, newStartedUnixMillis, version);
    }
}
