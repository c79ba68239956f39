package org.merlinwood.replay.fake;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.merlinwood.decision.placement.LoadObservation;

/** Gives the capacity of one fake instance to requests. Not thread-safe. */
sealed interface CapacityDesk permits FirstComeDesk, GrantDesk {

    /**
     * Creates the desk of a behaviour.
     *
     * @param behaviour how requests are treated
     * @param time virtual time
     * @param capacityUnits units of capacity
     * @param whenGiven gets requests that may execute
     * @param whenDenied gets requests that were refused
     * @return the desk
     */
    static CapacityDesk of(
            SidecarBehaviour behaviour,
            VirtualTime time,
            int capacityUnits,
            Consumer<Ask> whenGiven,
            BiConsumer<Ask, LoadObservation> whenDenied) {
        return switch (behaviour) {
            case FIRST_COME -> new FirstComeDesk(time, capacityUnits, whenGiven, whenDenied);
            case GRANT_BOOK -> new GrantDesk(time, capacityUnits, whenGiven, whenDenied);
        };
    }

    /**
     * Asks for units.
     *
     * @param ask the request
     * @param units how many
     */
    void request(Ask ask, int units);

    /**
     * Uses what was given.
     *
     * @param ask the request
     * @return false if it lapsed
     */
    boolean use(Ask ask);

    /**
     * Gives units back; does nothing for a request that holds none.
     *
     * @param ask the request
     */
    void release(Ask ask);

    /** Forgets everything: the instance ended. Requests that wait hear nothing more from here. */
    void close();

    /**
     * Returns the load.
     *
     * @return the load now
     */
    LoadObservation load();
}
