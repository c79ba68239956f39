package org.merlinwood.decision.grant.impl;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.decision.grant.AttemptIdentity;

/** The reserved units, by attempt. Not thread-safe. */
public final class Holdings {

    private final Map<AttemptIdentity, Holding> byAttempt = new LinkedHashMap<>();
    private final Map<RequestIdentifier, Integer> byRequest = new HashMap<>();
    private long units;
    private long tokens;

    /**
     * Adds a holding of an attempt that has none.
     *
     * @param holding the holding
     */
    public void add(Holding holding) {
        AttemptIdentity attempt = holding.grant().demand().attempt();
        byAttempt.put(attempt, holding);
        byRequest.merge(attempt.request(), 1, Integer::sum);
        units += holding.grant().demand().units();
        tokens += holding.grant().demand().tokens();
    }

    /**
     * Replaces the holding of the same attempt, in its place.
     *
     * @param holding the holding in its new phase
     */
    public void replace(Holding holding) {
        Holding replaced = byAttempt.replace(holding.grant().demand().attempt(), holding);
        if (replaced != null) {
            units +=
                    holding.grant().demand().units() - replaced.grant().demand().units();
            tokens += holding.grant().demand().tokens()
                    - replaced.grant().demand().tokens();
        }
    }

    /**
     * Removes a holding.
     *
     * @param attempt its attempt
     * @return the holding, or empty if there is none
     */
    public Optional<Holding> remove(AttemptIdentity attempt) {
        Holding holding = byAttempt.remove(attempt);
        if (holding != null) {
            byRequest.computeIfPresent(attempt.request(), (request, count) -> count == 1 ? null : count - 1);
            units -= holding.grant().demand().units();
            tokens -= holding.grant().demand().tokens();
        }
        return Optional.ofNullable(holding);
    }

    /**
     * Finds the holding of an attempt.
     *
     * @param attempt the attempt
     * @return the holding, or empty if there is none
     */
    public Optional<Holding> of(AttemptIdentity attempt) {
        return Optional.ofNullable(byAttempt.get(attempt));
    }

    /**
     * Finds the holding of a grant.
     *
     * @param number number of the grant
     * @return the holding, or empty if there is none
     */
    public Optional<Holding> ofGrant(long number) {
        return byAttempt.values().stream()
                .filter(holding -> holding.grant().number() == number)
                .findFirst();
    }

    /**
     * Tells whether any attempt of a request holds units.
     *
     * @param request the request
     * @return true if so
     */
    public boolean hasReservation(RequestIdentifier request) {
        return byRequest.containsKey(request);
    }

    /**
     * Returns attempts that meet a condition.
     *
     * @param condition judges holdings
     * @return the attempts, oldest first
     */
    public List<AttemptIdentity> attempts(Predicate<Holding> condition) {
        return byAttempt.values().stream()
                .filter(condition)
                .map(holding -> holding.grant().demand().attempt())
                .toList();
    }

    /**
     * Returns all holdings.
     *
     * @return a copy, oldest first
     */
    public List<Holding> all() {
        return List.copyOf(byAttempt.values());
    }

    /**
     * Counts the holdings in a phase.
     *
     * @param phase the phase
     * @return how many
     */
    public int count(Holding.Phase phase) {
        return (int) byAttempt.values().stream()
                .filter(holding -> holding.phase() == phase)
                .count();
    }

    /**
     * Sums the reserved units.
     *
     * @return units
     */
    public long units() {
        return units;
    }

    /**
     * Sums the prompt tokens of all holdings.
     *
     * @return tokens
     */
    public long tokens() {
        return tokens;
    }
}
