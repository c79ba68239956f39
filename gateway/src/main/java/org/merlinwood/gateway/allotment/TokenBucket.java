package org.merlinwood.gateway.allotment;

import org.merlinwood.gateway.workspace.Allotment;

/**
 * The token bucket of a workspace over all reachable entries. It may go below zero, as uses at other entries are known
 * late. Confined to the event loop.
 */
final class TokenBucket {

    private static final double MILLIS_PER_SECOND = 1_000;

    private double level;
    private double capacity;
    private double unitsPerMilli;
    private long filledMillis;
    private boolean filling;

    /** Creates a bucket that was empty at a monotonic time in milliseconds. */
    TokenBucket(long emptyMillis) {
        this.filledMillis = emptyMillis;
    }

    /** Returns whether the rate is known: whether {@link #begin} was called. */
    boolean isFilling() {
        return filling;
    }

    /**
     * Sets the first allotment. Fills the bucket up to now and deducts what was used in the meantime.
     *
     * @param allotment the allotment
     * @param share factor from 0 to 1 on rate and burst
     * @param usedSinceMillis monotonic time of the first use, in milliseconds
     * @param used the uses; if some are older than the window, the bucket counts as empty at its begin
     * @param nowMillis monotonic time, in milliseconds
     */
    void begin(Allotment allotment, double share, long usedSinceMillis, UsageWindow used, long nowMillis) {
        filling = true;
        fill(allotment, share, Math.max(filledMillis, usedSinceMillis));
        long windowStartMillis = used.startMillis(nowMillis);
        if (usedSinceMillis < windowStartMillis) {
            level = 0;
            filledMillis = windowStartMillis;
        }
        used.forEachSlot(nowMillis, (startMillis, units) -> {
            fill(allotment, share, Math.max(filledMillis, startMillis));
            level -= units;
        });
        fill(allotment, share, nowMillis);
    }

    /** Sets the allotment in force and fills the bucket up to now, with a factor from 0 to 1 on rate and burst. */
    void fill(Allotment allotment, double share, long nowMillis) {
        capacity = allotment.burst() * share;
        unitsPerMilli = allotment.ratePerSecond() * share / MILLIS_PER_SECOND;
        level = Math.min(capacity, level + unitsPerMilli * (nowMillis - filledMillis));
        filledMillis = nowMillis;
    }

    /** Returns the monotonic time up to which the bucket is filled, in milliseconds. */
    long filledMillis() {
        return filledMillis;
    }

    /**
     * Sets the level to a lowest one if it is below that. After a machine was suspended, its clock has not filled the
     * bucket for the time in which the other entries used theirs.
     */
    void raiseTo(double lowestLevel) {
        level = Math.max(level, lowestLevel);
    }

    /** Deducts units; adds them if the number is negative. */
    void use(long units) {
        level -= units;
    }

    double level() {
        return level;
    }

    double capacity() {
        return capacity;
    }

    double unitsPerMilli() {
        return unitsPerMilli;
    }
}
