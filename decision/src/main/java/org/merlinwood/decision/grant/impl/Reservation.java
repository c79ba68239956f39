package org.merlinwood.decision.grant.impl;

import org.merlinwood.decision.grant.Grant;

/**
 * The units of capacity that a grant reserves, and the phase of its attempt. Immutable.
 *
 * @param grant the grant
 * @param phase the phase of the attempt
 * @param sinceMillis monotonic time at which the grant was issued, in milliseconds
 */
public record Reservation(Grant grant, Phase phase, long sinceMillis) {

    /** Phases of an attempt that has a grant. */
    public enum Phase {
        /** The grant was issued and has not been used. */
        UNUSED,
        /** The attempt is running. */
        RUNNING,
        /** The result is computed and retained by the upstream; no units are reserved any more. */
        KEPT,
        /** The attempt is being stopped; the upstream has not confirmed that its memory is free. */
        STOPPING
    }

    /**
     * Returns a copy in another phase.
     *
     * @param next the phase
     * @return a copy
     */
    public Reservation withPhase(Phase next) {
        return new Reservation(grant, next, sinceMillis);
    }

    /**
     * Returns a copy without units, for a result that the upstream retains.
     *
     * @return a copy
     */
    public Reservation withoutUnits() {
        Grant unitless = new Grant(grant.number(), grant.demand().withoutUnits(), grant.expiresAtMillis());
        return new Reservation(unitless, Phase.KEPT, sinceMillis);
    }
}
