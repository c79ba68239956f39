package org.merlinwood.decision.placement.impl;

import java.util.Optional;
import java.util.Set;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.decision.placement.LoadObservation;

/**
 * One entry's view of one instance: its last reported load and the entry's own work in flight there. Exists while the
 * instance is a candidate. Not thread-safe: used by the entry's control thread only.
 */
public final class Candidate {

    private static final long OBSERVATION_TTL_MILLIS = 2_000;

    private final Instance instance;
    private final Optional<Instance> asOptional;
    private final Distance distance;
    private final int slot;
    private LoadObservation observation;
    private long observedMillis;
    private int openRequests;
    private int piecesSinceObservation;
    private long avoidedUntilMillis = Long.MIN_VALUE;

    /**
     * Creates a candidate without any observed load; it counts as idle.
     *
     * @param instance the inventory row
     * @param distance distance from the entry
     * @param slot index within the pool, from 0; identifies the instance in the prefix index
     */
    public Candidate(Instance instance, Distance distance, int slot) {
        this.instance = instance;
        this.asOptional = Optional.of(instance);
        this.distance = distance;
        this.slot = slot;
        this.observation = new LoadObservation(capacity(instance), capacity(instance), 0, 0, 0, 0, false);
        this.observedMillis = Long.MIN_VALUE / 2;
    }

    /**
     * Applies a changed inventory row of the same instance; load and work in flight are kept.
     *
     * @param changed the row in a later inventory
     * @param changedDistance distance from the entry according to that row
     * @return this candidate if nothing changed, otherwise a copy with the same slot
     */
    public Candidate withInstance(Instance changed, Distance changedDistance) {
        if (changed.equals(instance) && changedDistance == distance) {
            return this;
        }
        Candidate successor = new Candidate(changed, changedDistance, slot);
        successor.observation = observation;
        successor.observedMillis = observedMillis;
        successor.openRequests = openRequests;
        successor.piecesSinceObservation = piecesSinceObservation;
        successor.avoidedUntilMillis = avoidedUntilMillis;
        return successor;
    }

    /**
     * Records a load that the sidecar reported.
     *
     * @param reported the load, including all work of this entry that has arrived
     * @param nowMillis the monotonic time, in milliseconds
     */
    public void observe(LoadObservation reported, long nowMillis) {
        observation = reported;
        observedMillis = nowMillis;
        piecesSinceObservation = 0;
    }

    /**
     * Records the start of an attempt of this entry.
     *
     * @param pieces pieces that the attempt needs
     */
    public void recordStart(int pieces) {
        openRequests++;
        piecesSinceObservation += pieces;
    }

    /**
     * Records the end of an attempt of this entry.
     *
     * @param pieces pieces that the attempt needed
     */
    public void recordEnd(int pieces) {
        openRequests = Math.max(0, openRequests - 1);
        piecesSinceObservation -= pieces;
    }

    /**
     * Excludes the instance from placement for a time.
     *
     * @param untilMillis monotonic time at which it becomes eligible again, in milliseconds
     */
    public void avoid(long untilMillis) {
        avoidedUntilMillis = untilMillis;
    }

    /**
     * Returns whether the instance may be chosen for an attempt.
     *
     * @param nowMillis the monotonic time, in milliseconds
     * @param excluded instances that must not be chosen
     * @return false if it is excluded, while it is avoided, or if a recent load reports that it is draining
     */
    public boolean isUsable(long nowMillis, Set<InstanceName> excluded) {
        boolean draining = observation.draining() && freshness(nowMillis) > 0;
        return nowMillis >= avoidedUntilMillis && !draining && !excluded.contains(instance.name());
    }

    /**
     * Returns the weight of the last observation in estimates. The weight falls linearly with the age of the
     * observation.
     *
     * @param nowMillis the monotonic time, in milliseconds
     * @return from 1 for a new observation to 0 for an expired one
     */
    public double freshness(long nowMillis) {
        long ageMillis = nowMillis - observedMillis;
        return ageMillis >= OBSERVATION_TTL_MILLIS ? 0 : 1 - (double) ageMillis / OBSERVATION_TTL_MILLIS;
    }

    /**
     * Returns the share of memory that was free at the last observation, before work that started since.
     *
     * @return the share, from 0 to 1
     */
    public double observedFreeShare() {
        return (double) observation.freePieces() / Math.max(1, observation.totalPieces());
    }

    /**
     * Estimates the free pieces at present.
     *
     * @param poolFreeShare free share of the whole pool; replaces the observation as it gets older
     * @param nowMillis the monotonic time, in milliseconds
     * @return pieces; negative if the started work exceeds the capacity
     */
    public double freePieces(double poolFreeShare, long nowMillis) {
        double freshness = freshness(nowMillis);
        double estimate = freshness * observation.freePieces() + (1 - freshness) * poolFreeShare * totalPieces();
        return estimate - piecesSinceObservation;
    }

    /**
     * Estimates the prompt tokens that are queued ahead of a new prompt.
     *
     * @param tokensPerPiece tokens assumed per piece of work that this entry started since the observation
     * @param nowMillis the monotonic time, in milliseconds
     * @return number of tokens, not negative
     */
    public double waitingTokens(long tokensPerPiece, long nowMillis) {
        double estimate = freshness(nowMillis) * observation.queuedTokens();
        return Math.max(0, estimate + (double) piecesSinceObservation * tokensPerPiece);
    }

    /**
     * Returns the wait that the sidecar predicted, reduced by the time since the observation.
     *
     * @param nowMillis the monotonic time, in milliseconds
     * @return milliseconds, not negative
     */
    public long expectedWaitMillis(long nowMillis) {
        return Math.max(0, observation.expectedWaitMillis() - Math.max(0, nowMillis - observedMillis));
    }

    /**
     * Returns whether requests are queued at the instance.
     *
     * @param nowMillis the monotonic time, in milliseconds
     * @return true if the last observation shows a queue whose predicted wait has not yet passed
     */
    public boolean hasQueue(long nowMillis) {
        return observation.queued() > 0 && expectedWaitMillis(nowMillis) > 0;
    }

    /**
     * Returns the last reported load.
     *
     * @return the load; an idle instance before the first report
     */
    public LoadObservation observation() {
        return observation;
    }

    /**
     * Returns the inventory row.
     *
     * @return the instance
     */
    public Instance instance() {
        return instance;
    }

    /**
     * Returns the instance wrapped in an {@code Optional} that is created once, so that a placement allocates nothing.
     *
     * @return the instance, never empty
     */
    public Optional<Instance> asOptional() {
        return asOptional;
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
     * Returns the index within the pool.
     *
     * @return the index, from 0
     */
    public int slot() {
        return slot;
    }

    /**
     * Returns this entry's requests in flight at the instance.
     *
     * @return number of requests, not negative
     */
    public int openRequests() {
        return openRequests;
    }

    /**
     * Returns the last reported capacity.
     *
     * @return pieces or slots, at least 1
     */
    public int totalPieces() {
        return Math.max(1, observation.totalPieces());
    }

    private static int capacity(Instance instance) {
        return Math.max(1, Math.max(instance.pieces(), instance.concurrency()));
    }
}
