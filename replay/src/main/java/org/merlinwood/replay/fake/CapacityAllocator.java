package org.merlinwood.replay.fake;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.merlinwood.decision.placement.LoadObservation;

/** Allocates the capacity units of one fake instance to grant requests. Not thread-safe. */
sealed interface CapacityAllocator permits FifoAllocator, GrantAllocator {

    /**
     * Creates the allocator for a sidecar behaviour.
     *
     * @param behaviour how the sidecar treats grant requests
     * @param time virtual time
     * @param capacityUnits number of capacity units
     * @param grantedHandler called with each request whose units have been allocated
     * @param refusedHandler called with each refused request and the load at that time
     * @return an allocator whose capacity is free
     */
    static CapacityAllocator of(
            SidecarBehaviour behaviour,
            VirtualTime time,
            int capacityUnits,
            Consumer<PendingGrantRequest> grantedHandler,
            BiConsumer<PendingGrantRequest, LoadObservation> refusedHandler) {
        return switch (behaviour) {
            case FIRST_COME -> new FifoAllocator(time, capacityUnits, grantedHandler, refusedHandler);
            case GRANT_MANAGER -> new GrantAllocator(time, capacityUnits, grantedHandler, refusedHandler);
        };
    }

    /**
     * Requests units. The result is passed to one of the two handlers, possibly within this call.
     *
     * @param request the grant request
     * @param units number of units
     */
    void request(PendingGrantRequest request, int units);

    /**
     * Marks the grant of a request as used.
     *
     * @param request the grant request
     * @return false if the grant has expired
     */
    boolean use(PendingGrantRequest request);

    /**
     * Releases the units of a request. Has no effect on a request without units.
     *
     * @param request the grant request
     */
    void release(PendingGrantRequest request);

    /** Discards all requests because the instance has failed. Waiting requests are not notified by the allocator. */
    void close();

    /**
     * Returns the current load.
     *
     * @return the load at the current virtual time
     */
    LoadObservation load();
}
