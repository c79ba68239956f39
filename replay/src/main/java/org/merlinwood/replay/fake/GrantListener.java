package org.merlinwood.replay.fake;

import org.merlinwood.decision.placement.LoadObservation;

/** Gets the answers to one request for a grant. */
public interface GrantListener {

    /**
     * The grant was given.
     *
     * @param load load of the instance after it
     */
    void granted(LoadObservation load);

    /**
     * The grant was refused.
     *
     * @param load load of the instance
     */
    void refused(LoadObservation load);

    /** The instance did not answer. */
    void unreachable();
}
