package org.merlinwood.decision.order;

/**
 * Gives out the fencing numbers of one incarnation: each is higher than all before it, of this incarnation and of those
 * that the engine has obeyed. Not thread-safe: used by the control thread only.
 */
public final class FencingNumbers {

    private long last;

    /**
     * Creates a source of numbers.
     *
     * @param startedWallMillis wall time of the start, in milliseconds, a first guess above earlier incarnations; the
     *     engine's own number corrects it where the clock was set back
     */
    public FencingNumbers(long startedWallMillis) {
        this.last = startedWallMillis;
    }

    /**
     * Gives out a number.
     *
     * @param highestObeyed the highest number that the engine reports
     * @return a number above it and above every earlier one
     */
    public long next(long highestObeyed) {
        last = Math.max(last, highestObeyed) + 1;
        return last;
    }
}
