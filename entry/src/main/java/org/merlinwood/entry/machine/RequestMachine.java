package org.merlinwood.entry.machine;

import java.util.List;

/** Decides what is done for one request. Not thread-safe: used by the control thread only. */
public interface RequestMachine {

    /**
     * Begins. Called once, first.
     *
     * @return what is to be done, in order
     */
    List<RequestAction> start();

    /**
     * Takes an event. Events of attempts that are not current any more change nothing.
     *
     * @param event what happened
     * @return what is to be done, in order
     */
    List<RequestAction> handle(RequestEvent event);

    /**
     * Returns the name of the state, for the dump.
     *
     * @return one word
     */
    String stateName();
}
