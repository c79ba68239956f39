package org.merlinwood.decision.order;

/**
 * Issues the fencing numbers of one incarnation. Each number is higher than all numbers that this incarnation issued
 * before and than the highest number that the engine has accepted. Not thread-safe: used by the control thread only.
 */
public final class FencingNumbers {

    private long last;

    /**
     * Creates a source of fencing numbers.
     *
     * @param startedWallMillis wall time at process start, in milliseconds; normally exceeds the numbers of earlier
     *     incarnations. If the clock was set back, the number reported by the engine corrects it
     */
    public FencingNumbers(long startedWallMillis) {
        this.last = startedWallMillis;
    }

    /**
     * Issues a fencing number.
     *
     * @param highestAccepted highest number that the engine reports
     * @return a number above {@code highestAccepted} and above all numbers issued before
     */
    public long next(long highestAccepted) {
        last = Math.max(last, highestAccepted) + 1;
        return last;
    }
}
