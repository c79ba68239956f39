package org.merlinwood.entry.machine;

import java.util.List;

/** Decides the actions for a single request. Not thread-safe: used by the control thread only. */
public interface RequestMachine {

    /**
     * Starts the request. Called once, before any event is handled.
     *
     * @return the actions to perform, in order
     */
    List<RequestAction> start();

    /**
     * Handles an event. Events of attempts that are no longer current have no effect.
     *
     * @param event what happened
     * @return the actions to perform, in order
     */
    List<RequestAction> handle(RequestEvent event);

    /**
     * Returns the name of the current state, for the state dump.
     *
     * @return simple name of the state
     */
    String stateName();
}
