package org.merlinwood.decision.placement.impl;

import java.util.Optional;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.decision.placement.LoadObservation;

/**
 * What one entry knows of one instance. Lives as long as the instance is a candidate. Not thread-safe: used by the
 * entry's control thread only.
 */
public final class Candidate {

    private static final long OBSERVATION_LIFE_MILLIS = 2_000;

    private final Instance instance;
    private final Optional<Instance> asAnswer;
    private final Distance distance;
    private final int slot;
    private LoadObservation observation;
    private long observedMillis;
    private int openPieces;
    private int openRequests;
    private int piecesSinceObservation;
    private long avoidedUntilMillis = Long.MIN_VALUE;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates a candidate of which nothing is known.
     *
     * @param instance the row of the inventory
     * @param distance how far it is from the entry
     * @param slot its number within the pool
     */
    public Candidate(Instance instance, Distance distance, int slot) {
        this.instance = instance;
        this.asAnswer = Optional.of(instance);
        this.distance = distance;
        this.slot = slot;
        this.observation = new LoadObservation(capacity(instance), capacity(instance), 0, 0, 0, 0, false);
        this.observedMillis = Long.MIN_VALUE / 2;
    }

    /**
     * Takes over what is known to a changed row of the same instance.
     *
     * @param changed the row of a later inventory
     * @param changedDistance its distance
     * @return a candidate with the same slot
     */
    public Candidate withInstance(Instance changed, Distance changedDistance) {
        if (changed.equals(instance) && changedDistance == distance) {
            return this;
        }
        Candidate successor = new Candidate(changed, changedDistance, slot);
        successor.observation = observation;
        successor.observedMillis = observedMillis;
        successor.openPieces = openPieces;
        successor.openRequests = openRequests;
        successor.piecesSinceObservation = piecesSinceObservation;
        successor.avoidedUntilMillis = avoidedUntilMillis;
        return successor;
    }

    // ------------------------------------------------------------------ public API

    /**
     * Notes a load that the sidecar reported.
     *
     * @param reported the load
     * @param nowMillis the monotonic time, in milliseconds
     */
    public void observe(LoadObservation reported, long nowMillis) {
        observation = reported;
        observedMillis = nowMillis;
        piecesSinceObservation = 0;
    }

    /**
     * Notes own work that began.
     *
     * @param pieces pieces that it takes
     */
    public void started(int pieces) {
        openRequests++;
        openPieces += pieces;
        piecesSinceObservation += pieces;
    }

    /**
     * Notes own work that ended.
     *
     * @param pieces pieces that it took
     */
    public void ended(int pieces) {
        openRequests = Math.max(0, openRequests - 1);
        openPieces = Math.max(0, openPieces - pieces);
        piecesSinceObservation -= pieces;
    }

    /**
     * Leaves the instance out for a while.
     *
     * @param untilMillis monotonic time at which it is considered again, in milliseconds
     */
    public void avoid(long untilMillis) {
        avoidedUntilMillis = untilMillis;
    }

    /**
     * Tells whether the instance may be chosen.
     *
     * @param nowMillis the monotonic time, in milliseconds
     * @return false while it is avoided or known to drain
     */
    public boolean isEligible(long nowMillis) {
        boolean draining = observation.draining() && freshness(nowMillis) > 0;
        return nowMillis >= avoidedUntilMillis && !draining;
    }

    /**
     * Tells how far the last observation is to be believed.
     *
     * @param nowMillis the monotonic time, in milliseconds
     * @return from 1 for a new one to 0 for an old one
     */
    public double freshness(long nowMillis) {
        long ageMillis = nowMillis - observedMillis;
        return ageMillis >= OBSERVATION_LIFE_MILLIS ? 0 : 1 - (double) ageMillis / OBSERVATION_LIFE_MILLIS;
    }

    /**
     * Estimates the share of memory that is free, without work begun since the observation.
     *
     * @return between 0 and 1
     */
    public double observedFreeShare() {
        return (double) observation.freePieces() / Math.max(1, observation.totalPieces());
    }

    /**
     * Estimates the pieces that are free now.
     *
     * @param poolFreeShare share that is free in the pool, believed where the observation is old
     * @param nowMillis the monotonic time, in milliseconds
     * @return pieces, may be negative
     */
    public double freePieces(double poolFreeShare, long nowMillis) {
        double freshness = freshness(nowMillis);
        double believed = freshness * observation.freePieces() + (1 - freshness) * poolFreeShare * totalPieces();
        return believed - piecesSinceObservation;
    }

    /**
     * Estimates prompt tokens that stand before a new prompt.
     *
     * @param tokensPerPiece tokens that own work since the observation is counted with, for each piece
     * @param nowMillis the monotonic time, in milliseconds
     * @return tokens, not negative
     */
    public double waitingTokens(long tokensPerPiece, long nowMillis) {
        double believed = freshness(nowMillis) * observation.queuedTokens();
        return Math.max(0, believed + (double) piecesSinceObservation * tokensPerPiece);
    }

    /**
     * Estimates the wait that the sidecar predicted, less the time gone by.
     *
     * @param nowMillis the monotonic time, in milliseconds
     * @return milliseconds, not negative
     */
    public long expectedWaitMillis(long nowMillis) {
        return Math.max(0, observation.expectedWaitMillis() - Math.max(0, nowMillis - observedMillis));
    }

    /**
     * Tells whether others wait at the instance.
     *
     * @param nowMillis the monotonic time, in milliseconds
     * @return true if a fresh observation shows a queue that has not had time to empty
     */
    public boolean hasQueue(long nowMillis) {
        return observation.queued() > 0 && expectedWaitMillis(nowMillis) > 0;
    }

    /**
     * Returns the last reported load.
     *
     * @return the load; as if idle before the first report
     */
    public LoadObservation observation() {
        return observation;
    }

    /**
     * Returns the row of the inventory.
     *
     * @return the instance
     */
    public Instance instance() {
        return instance;
    }

    /**
     * Returns the instance as the answer of a placement, without allocation.
     *
     * @return the instance, never empty
     */
    public Optional<Instance> asAnswer() {
        return asAnswer;
    }

    /**
     * Returns the distance from the entry.
     *
     * @return the distance
     */
    public Distance distance() {
        return distance;
    }

    /**
     * Returns the number within the pool.
     *
     * @return from 0
     */
    public int slot() {
        return slot;
    }

    /**
     * Returns the own requests in flight.
     *
     * @return requests, not negative
     */
    public int openRequests() {
        return openRequests;
    }

    /**
     * Returns the pieces of own work in flight.
     *
     * @return pieces, not negative
     */
    public int openPieces() {
        return openPieces;
    }

    /**
     * Returns the capacity as last reported.
     *
     * @return pieces or slots, at least 1
     */
    public int totalPieces() {
        return Math.max(1, observation.totalPieces());
    }

    // ------------------------------------------------------------------ internals

    private static int capacity(Instance instance) {
        return Math.max(1, Math.max(instance.pieces(), instance.concurrency()));
    }
}
