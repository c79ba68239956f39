package org.merlinwood.decision.grant.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.decision.grant.AttemptIdentity;
import org.merlinwood.decision.grant.GrantDemand;

/** Finds attempts among the queued demands and the reservations. Stateless. */
public final class KnownAttempts {

    private final Reservations reservations;
    private final WaitingQueue queue;

    /**
     * Creates the search.
     *
     * @param reservations the current reservations
     * @param queue the demands that wait
     */
    public KnownAttempts(Reservations reservations, WaitingQueue queue) {
        this.reservations = reservations;
        this.queue = queue;
    }

    /**
     * Tells whether an attempt is queued or has a reservation.
     *
     * @param attempt the attempt
     * @return true if it is known
     */
    public boolean contains(AttemptIdentity attempt) {
        return queue.contains(attempt) || reservations.of(attempt).isPresent();
    }

    /**
     * Returns the attempts whose demands meet a condition.
     *
     * @param condition selects demands
     * @return the queued attempts in the order in which they are served, then those with a reservation, oldest first
     */
    public List<AttemptIdentity> matching(Predicate<GrantDemand> condition) {
        List<AttemptIdentity> attempts = new ArrayList<>(queue.attempts(condition));
        attempts.addAll(reservations.attempts(
                reservation -> condition.test(reservation.grant().demand())));
        return attempts;
    }

    /**
     * Returns the attempts of a request.
     *
     * @param request the request
     * @return the queued attempts in the order in which they are served, then those with a reservation, oldest first
     */
    public List<AttemptIdentity> of(RequestIdentifier request) {
        List<AttemptIdentity> attempts = new ArrayList<>(
                queue.attempts(demand -> demand.attempt().request().equals(request)));
        if (reservations.hasReservation(request)) {
            attempts.addAll(reservations.attempts(reservation ->
                    reservation.grant().demand().attempt().request().equals(request)));
        }
        return attempts;
    }
}
