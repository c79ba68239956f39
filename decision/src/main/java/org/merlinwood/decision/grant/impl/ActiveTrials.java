package org.merlinwood.decision.grant.impl;

import java.util.LinkedHashSet;
import java.util.Set;
import org.merlinwood.decision.grant.AttemptIdentity;

/**
 * The attempts on trial: they may have crashed an engine before, and only one of them may run at a time. Not
 * thread-safe.
 */
public final class ActiveTrials {

    private final Reservations reservations;
    private final Set<AttemptIdentity> attempts = new LinkedHashSet<>();

    /**
     * Creates an empty set.
     *
     * @param reservations the current reservations; an attempt without one is not on trial
     */
    public ActiveTrials(Reservations reservations) {
        this.reservations = reservations;
    }

    /**
     * Starts the trial of an attempt.
     *
     * @param attempt the attempt
     */
    public void start(AttemptIdentity attempt) {
        attempts.add(attempt);
    }

    /**
     * Ends the trial of an attempt.
     *
     * @param attempt the attempt
     * @return false if it was not on trial
     */
    public boolean end(AttemptIdentity attempt) {
        return attempts.remove(attempt);
    }

    /**
     * Returns whether an attempt has a reservation and is on trial.
     *
     * @param attempt the attempt
     * @return true until its trial or its reservation has ended
     */
    public boolean contains(AttemptIdentity attempt) {
        return attempts.contains(attempt) && reservations.of(attempt).isPresent();
    }

    /**
     * Returns whether any attempt with a reservation is on trial.
     *
     * @return true if the next one has to wait
     */
    public boolean isAnyActive() {
        attempts.removeIf(attempt -> reservations.of(attempt).isEmpty());
        return !attempts.isEmpty();
    }
}
