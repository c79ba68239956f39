package org.merlinwood.decision.grant.impl;

import org.merlinwood.decision.grant.Grant;

/**
 * Reserved units and why they are reserved. Immutable.
 *
 * @param grant the grant
 * @param phase what became of it
 * @param sinceMillis monotonic time when the units were reserved, in milliseconds
 */
public record Holding(Grant grant, Phase phase, long sinceMillis) {

    /** Life of a grant that reserves units. */
    public enum Phase {
        /** Given, not executed. */
        UNUSED,
        /** Executed, not ended. */
        RUNNING,
        /** Computed; the upstream keeps the result, and no unit is reserved any more. */
        KEPT,
        /** To be cancelled; the upstream has not confirmed that its memory is free. */
        STOPPING
    }

    /**
     * Returns this holding in another phase.
     *
     * @param next the phase
     * @return a copy
     */
    public Holding withPhase(Phase next) {
        return new Holding(grant, next, sinceMillis);
    }

    /**
     * Returns this holding without units, for a result that the upstream keeps.
     *
     * @return a copy
     */
    public Holding withoutUnits() {
        Grant unitless = new Grant(grant.number(), grant.demand().withoutUnits(), grant.expiresAtMillis());
        return new Holding(unitless, Phase.KEPT, sinceMillis);
    }
}
