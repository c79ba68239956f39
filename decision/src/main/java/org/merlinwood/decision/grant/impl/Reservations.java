package org.merlinwood.decision.grant.impl;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.decision.grant.AttemptIdentity;

/** The reservations of all attempts that have a grant, and the sums of their units and tokens. Not thread-safe. */
public final class Reservations {

    private final Map<AttemptIdentity, Reservation> byAttempt = new LinkedHashMap<>();
    private final Map<RequestIdentifier, Integer> byRequest = new HashMap<>();
    private long units;
    private long tokens;

    /** Creates the reservations of an idle instance: none. */
    public Reservations() {}

    /**
     * Adds a reservation for an attempt that has none.
     *
     * @param reservation the reservation
     */
    public void add(Reservation reservation) {
        AttemptIdentity attempt = reservation.grant().demand().attempt();
        byAttempt.put(attempt, reservation);
        byRequest.merge(attempt.request(), 1, Integer::sum);
        units += reservation.grant().demand().units();
        tokens += reservation.grant().demand().tokens();
    }

    /**
     * Replaces the reservation of the same attempt and keeps its position. Ignored if the attempt has none.
     *
     * @param reservation the reservation in its new phase
     */
    public void replace(Reservation reservation) {
        Reservation replaced = byAttempt.replace(reservation.grant().demand().attempt(), reservation);
        if (replaced != null) {
            units += reservation.grant().demand().units()
                    - replaced.grant().demand().units();
            tokens += reservation.grant().demand().tokens()
                    - replaced.grant().demand().tokens();
        }
    }

    /**
     * Removes the reservation of an attempt.
     *
     * @param attempt the attempt
     * @return the reservation, or empty if there is none
     */
    public Optional<Reservation> remove(AttemptIdentity attempt) {
        Reservation reservation = byAttempt.remove(attempt);
        if (reservation != null) {
            byRequest.computeIfPresent(attempt.request(), (request, count) -> count == 1 ? null : count - 1);
            units -= reservation.grant().demand().units();
            tokens -= reservation.grant().demand().tokens();
        }
        return Optional.ofNullable(reservation);
    }

    /**
     * Finds the reservation of an attempt.
     *
     * @param attempt the attempt
     * @return the reservation, or empty if there is none
     */
    public Optional<Reservation> of(AttemptIdentity attempt) {
        return Optional.ofNullable(byAttempt.get(attempt));
    }

    /**
     * Finds the reservation of a grant.
     *
     * @param number number of the grant
     * @return the reservation, or empty if there is none
     */
    public Optional<Reservation> ofGrant(long number) {
        return byAttempt.values().stream()
                .filter(reservation -> reservation.grant().number() == number)
                .findFirst();
    }

    /**
     * Tells whether any attempt of a request has a reservation.
     *
     * @param request the request
     * @return true if there is a reservation, also one without units
     */
    public boolean hasReservation(RequestIdentifier request) {
        return byRequest.containsKey(request);
    }

    /**
     * Returns the attempts whose reservations meet a condition.
     *
     * @param condition selects reservations
     * @return the attempts, oldest first
     */
    public List<AttemptIdentity> attempts(Predicate<Reservation> condition) {
        return byAttempt.values().stream()
                .filter(condition)
                .map(reservation -> reservation.grant().demand().attempt())
                .toList();
    }

    /**
     * Returns all reservations.
     *
     * @return a copy, oldest first
     */
    public List<Reservation> all() {
        return List.copyOf(byAttempt.values());
    }

    /**
     * Counts the reservations in a phase.
     *
     * @param phase the phase
     * @return the number of reservations
     */
    public int count(Reservation.Phase phase) {
        return (int) byAttempt.values().stream()
                .filter(reservation -> reservation.phase() == phase)
                .count();
    }

    /**
     * Returns the sum of the reserved units.
     *
     * @return the sum of the units
     */
    public long units() {
        return units;
    }

    /**
     * Returns the sum of the prompt tokens of all reservations.
     *
     * @return the sum of the tokens
     */
    public long tokens() {
        return tokens;
    }
}
