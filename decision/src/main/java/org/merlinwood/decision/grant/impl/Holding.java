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
        /** To be cancelled; the upstream has not confirmed that its memory is free. */
        STOPPING
    }

    /**
     * Returns this holding in another phase.
     *
     * @param next the phase
     * @return a copy
     */
    public Holding in(Phase next) {
        return new Holding(grant, next, sinceMillis);
    }
}
