package org.merlinwood.gateway.allotment;

/** A sum of units that decays exponentially with time. Confined to the event loop. */
final class DecayingSum {

    private final double timeConstantMillis;
    private double value;
    private long updatedMillis;

    /** Creates an empty sum with its time constant in milliseconds. */
    DecayingSum(double timeConstantMillis) {
        this.timeConstantMillis = timeConstantMillis;
    }

    /** Adds units, possibly a negative number. */
    void add(long units, long nowMillis) {
        value = Math.max(0, value(nowMillis) + units);
        updatedMillis = nowMillis;
    }

    /** Returns the sum, in units. */
    double value(long nowMillis) {
        return value == 0 ? 0 : value * Math.exp((updatedMillis - nowMillis) / timeConstantMillis);
    }

    /** Returns the rate that the sum stands for, in units per millisecond. */
    double rate(long nowMillis) {
        return value(nowMillis) / timeConstantMillis;
    }
}
