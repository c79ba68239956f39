package org.merlinwood.gateway.follow;

import java.util.Optional;
import java.util.OptionalLong;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.workspace.CopyState;

/**
 * Up to which time the copy of the store is known to be complete: the time at which the latest read was sent whose
 * answer has been applied, by this entry or by one whose copy is not ahead of this one.
 *
 * <p>The monotonic clock doesn't count the time for which the machine was suspended, and the wall clock may jump. If
 * the two disagree, the time is unknown until the next read. Not thread-safe: used on the event loop only.
 */
public final class CopyConfirmation {

    /**
     * Largest difference between the two clocks since the read, in milliseconds: far more than they drift apart while
     * reads succeed, and small beside the time within which a revocation takes effect.
     */
    private static final long MAXIMUM_CLOCK_DIFFERENCE_MILLIS = 500;

    private final MillisClock clock;
    private Optional<Moment> confirmedAt = Optional.empty();
    private StorePosition position = StorePosition.START;
    private long highestVersionElsewhere;
    private long doubtCount;

    /**
     * A point in time by both clocks.
     *
     * @param monotonicMillis monotonic time, in milliseconds
     * @param wallMillis wall time, in milliseconds
     */
    public record Moment(long monotonicMillis, long wallMillis) {

        /**
         * Returns an earlier moment.
         *
         * @param millis how much earlier, in milliseconds
         * @return the moment
         */
        public Moment minus(long millis) {
            return new Moment(monotonicMillis - millis, wallMillis - millis);
        }
    }

    /**
     * Creates the state of a copy that was never read.
     *
     * @param clock both times
     */
    public CopyConfirmation(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Returns the present moment.
     *
     * @return the moment
     */
    public Moment now() {
        return new Moment(clock.monotonicMillis(), clock.wallMillis());
    }

    /**
     * Records that the copy contains everything that the store had acknowledged at a moment.
     *
     * @param moment the moment, such as that at which a read was sent
     * @param complete position up to which the copy contains everything
     */
    public void confirm(Moment moment, StorePosition complete) {
        if (complete.isAfter(position)) {
            position = complete;
        }
        checkClocks();
        boolean later = confirmedAt
                .filter(known -> known.monotonicMillis() >= moment.monotonicMillis())
                .isEmpty();
        if (later && isByBothClocks(moment)) {
            confirmedAt = Optional.of(moment);
        }
    }

    /**
     * Returns the latest moment at which the copy is known to have been complete.
     *
     * @return the moment; empty if none is known
     */
    public Optional<Moment> confirmedAt() {
        checkClocks();
        return confirmedAt;
    }

    /**
     * Returns the time since the copy is known to have been complete.
     *
     * @return milliseconds; empty if no such time is known
     */
    public OptionalLong ageMillis() {
        return confirmedAt()
                .map(moment -> OptionalLong.of(clock.monotonicMillis() - moment.monotonicMillis()))
                .orElse(OptionalLong.empty());
    }

    /**
     * Returns the highest position up to which the copy was confirmed.
     *
     * @return the position, or {@link StorePosition#START}
     */
    public StorePosition position() {
        return position;
    }

    /**
     * Records the version of the configuration that another entry has.
     *
     * @param version the version; 0 if it has none
     */
    public void onVersionElsewhere(long version) {
        if (version > highestVersionElsewhere) {
            highestVersionElsewhere = version;
            doubtCount++;
        }
    }

    /**
     * Returns how current the copy is.
     *
     * @param ownVersion version of the configuration in force here
     * @return the state now
     */
    public CopyState state(long ownVersion) {
        Optional<Moment> moment = confirmedAt();
        return new CopyState(
                moment.isPresent() ? OptionalLong.of(moment.get().monotonicMillis()) : OptionalLong.empty(),
                highestVersionElsewhere > ownVersion);
    }

    /**
     * Returns how often the copy has become doubtful: a clock jumped, or another entry reported a higher version than
     * any before. A question that was asked before that says nothing.
     *
     * @return the number of times
     */
    public long doubtCount() {
        return doubtCount;
    }

    private void checkClocks() {
        if (confirmedAt.isPresent() && !isByBothClocks(confirmedAt.get())) {
            confirmedAt = Optional.empty();
            doubtCount++;
        }
    }

    /** Returns whether as much time has passed since a moment by one clock as by the other. */
    private boolean isByBothClocks(Moment moment) {
        Moment now = now();
        long monotonicMillis = now.monotonicMillis() - moment.monotonicMillis();
        long wallMillis = now.wallMillis() - moment.wallMillis();
        return Math.abs(wallMillis - monotonicMillis) <= MAXIMUM_CLOCK_DIFFERENCE_MILLIS;
    }
}
