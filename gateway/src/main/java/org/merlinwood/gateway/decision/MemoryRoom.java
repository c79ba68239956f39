package org.merlinwood.gateway.decision;

import java.util.Optional;
import java.util.Set;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.route.EngineLimits;

/**
 * What {@link WaitRanking} has to know of the instances: how many have room for a response, which have just declined
 * one, and how long a prompt takes. Confined to the event loop.
 */
public final class MemoryRoom {

    private final DecodePlacement decodePlacement;
    private final PrefillPlacement prefillPlacement;
    private final FleetStatistics statistics;
    private final MillisClock clock;

    MemoryRoom(
            DecodePlacement decodePlacement,
            PrefillPlacement prefillPlacement,
            FleetStatistics statistics,
            MillisClock clock) {
        this.decodePlacement = decodePlacement;
        this.prefillPlacement = prefillPlacement;
        this.statistics = statistics;
        this.clock = clock;
    }

    /**
     * Returns how many instances have room for a response, as {@link InstancePool#chooseDecode} sees them.
     *
     * @param service name of the service
     * @param pending the response
     * @param limits limits of each instance of the service
     * @param excluded identifiers of instances that were already tried
     * @return numbers of instances
     */
    public WaitRanking.Room of(String service, PendingGeneration pending, EngineLimits limits, Set<String> excluded) {
        return decodePlacement.room(service, pending, limits, excluded);
    }

    /**
     * Records that an instance declined a reservation, before the declined response is removed from its work. The
     * instance is not chosen for requests that need as much until a response there is known to have ended or every
     * entry has reported once more.
     *
     * @param identifier identifier of the instance
     * @param tokens size of the reservation, in tokens
     */
    public void recordDeclined(String identifier, int tokens) {
        statistics.of(identifier).recordDeclinedUntilChange(tokens, clock.monotonicMillis());
    }

    /**
     * Estimates how long a prompt takes at the prefill instance with the shortest queue, or at a decode instance if
     * there is no prefill instance.
     *
     * @param service name of the service
     * @param version software version that the instance must run; empty for any version
     * @param tokens length of the prompt, in tokens
     * @return milliseconds
     */
    public long expectedPrefillMillis(String service, Optional<String> version, int tokens) {
        return prefillPlacement.shortestMillis(service, version, tokens);
    }
}
