package org.merlinwood.decision.grant.impl;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.merlinwood.decision.grant.AttemptIdentity;
import org.merlinwood.decision.grant.GrantDemand;

/** The demands that wait for a grant, best first. Not thread-safe. */
public final class WaitingQueue {

    private final TreeSet<WaitingDemand> ordered = new TreeSet<>();
    private final Map<AttemptIdentity, WaitingDemand> byAttempt = new HashMap<>();
    private long arrivals;

    /**
     * Adds a demand behind those of the same priority.
     *
     * @param demand the demand
     * @param nowMillis monotonic time, in milliseconds
     * @return its place in the queue
     */
    public WaitingDemand add(GrantDemand demand, long nowMillis) {
        WaitingDemand waiting = new WaitingDemand(demand, ++arrivals, nowMillis);
        ordered.add(waiting);
        byAttempt.put(demand.attempt(), waiting);
        return waiting;
    }

    /**
     * Removes a demand.
     *
     * @param attempt its attempt
     * @return the demand, or empty if it does not wait
     */
    public Optional<WaitingDemand> remove(AttemptIdentity attempt) {
        WaitingDemand waiting = byAttempt.remove(attempt);
        if (waiting != null) {
            ordered.remove(waiting);
        }
        return Optional.ofNullable(waiting);
    }

    /**
     * Returns the demands, best first.
     *
     * @return a copy, so that the queue may change meanwhile
     */
    public List<WaitingDemand> inOrder() {
        return new ArrayList<>(ordered);
    }

    /**
     * Returns attempts that meet a condition.
     *
     * @param condition judges demands
     * @return the attempts
     */
    public List<AttemptIdentity> attempts(Predicate<GrantDemand> condition) {
        return ordered.stream()
                .map(WaitingDemand::demand)
                .filter(condition)
                .map(GrantDemand::attempt)
                .toList();
    }

    /**
     * Returns the demand that is served last.
     *
     * @return the demand, or empty if none waits
     */
    public Optional<WaitingDemand> last() {
        return ordered.isEmpty() ? Optional.empty() : Optional.of(ordered.last());
    }

    /**
     * Counts the demands.
     *
     * @return how many wait
     */
    public int size() {
        return ordered.size();
    }

    /**
     * Tells whether an attempt waits.
     *
     * @param attempt the attempt
     * @return true if so
     */
    public boolean contains(AttemptIdentity attempt) {
        return byAttempt.containsKey(attempt);
    }

    /**
     * Sums the units of all demands.
     *
     * @return units
     */
    public long units() {
        return ordered.stream().mapToLong(waiting -> waiting.demand().units()).sum();
    }

    /**
     * Sums the prompt tokens of all demands.
     *
     * @return tokens
     */
    public long tokens() {
        return ordered.stream().mapToLong(waiting -> waiting.demand().tokens()).sum();
    }
}
