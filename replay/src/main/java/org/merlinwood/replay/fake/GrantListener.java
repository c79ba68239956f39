package org.merlinwood.replay.fake;

import org.merlinwood.decision.placement.LoadObservation;

/** Receives the result of one grant request. At most one method is called, once. */
public interface GrantListener {

    /**
     * Called when the grant has been issued.
     *
     * @param load load of the instance after the grant
     */
    void granted(LoadObservation load);

    /**
     * Called when the grant has been refused.
     *
     * @param load load of the instance
     */
    void refused(LoadObservation load);

    /** Called when the instance did not respond. */
    void unreachable();
}
