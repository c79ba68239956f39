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

/** The queue of demands that wait for a grant, sorted by priority, then by arrival. Not thread-safe. */
public final class WaitingQueue {

    /** Maximum number of demands. To be checked before a demand is added: the queue itself accepts more. */
    public static final int MAXIMUM_SIZE = 512;

    private final TreeSet<WaitingDemand> ordered = new TreeSet<>();
    private final Map<AttemptIdentity, WaitingDemand> byAttempt = new HashMap<>();
    private long arrivals;

    /** Creates an empty queue. */
    public WaitingQueue() {}

    /**
     * Adds a demand after those of the same priority.
     *
     * @param demand the demand
     * @param nowMillis monotonic time, in milliseconds
     * @return the queued demand
     */
    public WaitingDemand add(GrantDemand demand, long nowMillis) {
        WaitingDemand waiting = new WaitingDemand(demand, ++arrivals, nowMillis);
        ordered.add(waiting);
        byAttempt.put(demand.attempt(), waiting);
        return waiting;
    }

    /**
     * Removes the demand of an attempt.
     *
     * @param attempt the attempt
     * @return the demand, or empty if the attempt is not queued
     */
    public Optional<WaitingDemand> remove(AttemptIdentity attempt) {
        WaitingDemand waiting = byAttempt.remove(attempt);
        if (waiting != null) {
            ordered.remove(waiting);
        }
        return Optional.ofNullable(waiting);
    }

    /**
     * Returns the demands in the order in which they are served.
     *
     * @return a copy, so that the queue may be changed during iteration
     */
    public List<WaitingDemand> sorted() {
        return new ArrayList<>(ordered);
    }

    /**
     * Returns the attempts whose demands meet a condition.
     *
     * @param condition selects demands
     * @return the attempts in the order in which they are served
     */
    public List<AttemptIdentity> attempts(Predicate<GrantDemand> condition) {
        return ordered.stream()
                .map(WaitingDemand::demand)
                .filter(condition)
                .map(GrantDemand::attempt)
                .toList();
    }

    /**
     * Returns the demand that would be served last.
     *
     * @return the demand, or empty if the queue is empty
     */
    public Optional<WaitingDemand> last() {
        return ordered.isEmpty() ? Optional.empty() : Optional.of(ordered.last());
    }

    /**
     * Returns the number of queued demands.
     *
     * @return the number of demands
     */
    public int size() {
        return ordered.size();
    }

    /**
     * Tells whether the queue has reached {@link #MAXIMUM_SIZE}.
     *
     * @return true if one demand has to leave for another one
     */
    public boolean isFull() {
        return ordered.size() >= MAXIMUM_SIZE;
    }

    /**
     * Tells whether an attempt is queued.
     *
     * @param attempt the attempt
     * @return true if it is queued
     */
    public boolean contains(AttemptIdentity attempt) {
        return byAttempt.containsKey(attempt);
    }

    /**
     * Returns the sum of the units of all queued demands.
     *
     * @return the sum of the units
     */
    public long units() {
        return ordered.stream().mapToLong(waiting -> waiting.demand().units()).sum();
    }

    /**
     * Returns the sum of the prompt tokens of all queued demands.
     *
     * @return the sum of the tokens
     */
    public long tokens() {
        return ordered.stream().mapToLong(waiting -> waiting.demand().tokens()).sum();
    }
}
