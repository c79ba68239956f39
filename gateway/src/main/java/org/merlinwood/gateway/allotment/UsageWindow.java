package org.merlinwood.gateway.allotment;

import java.util.Arrays;

/**
 * Units used within a sliding window, in slots. A slot leaves the sum only when all of it is older than the window.
 * Confined to the event loop.
 */
final class UsageWindow {

    private static final int SLOTS = 16;

    private final long slotMillis;

    /** One more than the window has, since the oldest is in the window only in part. */
    private final double[] slots = new double[SLOTS + 1];

    private long currentSlot;
    private double sum;

    /** Creates an empty window with its length in milliseconds. */
    UsageWindow(long windowMillis) {
        this.slotMillis = Math.max(1, Math.ceilDiv(windowMillis, SLOTS));
    }

    /** Adds units, possibly a negative number, at a time that is now or earlier. */
    void add(double units, long atMillis, long nowMillis) {
        advance(nowMillis);
        long slot = Math.floorDiv(atMillis, slotMillis);
        if (slot > currentSlot - slots.length) {
            slots[index(slot)] += units;
            sum += units;
        }
    }

    /** Returns the units in the window. */
    double sum(long nowMillis) {
        advance(nowMillis);
        return sum;
    }

    /** Returns the monotonic time at which the oldest slot begins, in milliseconds. */
    long startMillis(long nowMillis) {
        advance(nowMillis);
        return (currentSlot - SLOTS) * slotMillis;
    }

    /** Passes each slot in the window to a consumer, from the oldest to the current one. */
    void forEachSlot(long nowMillis, SlotConsumer consumer) {
        advance(nowMillis);
        for (long slot = currentSlot - SLOTS; slot <= currentSlot; slot++) {
            consumer.accept(slot * slotMillis, slots[index(slot)]);
        }
    }

    /** Receives the slots of a window. */
    interface SlotConsumer {

        /** Receives the monotonic time at which a slot begins, in milliseconds, and the units used in it. */
        void accept(long startMillis, double units);
    }

    private void advance(long nowMillis) {
        long slot = Math.floorDiv(nowMillis, slotMillis);
        if (slot - currentSlot >= slots.length) {
            Arrays.fill(slots, 0);
            sum = 0;
            currentSlot = slot;
        }
        while (currentSlot < slot) {
            currentSlot++;
            sum -= slots[index(currentSlot)];
            slots[index(currentSlot)] = 0;
        }
    }

    private int index(long slot) {
        return (int) Math.floorMod(slot, (long) slots.length);
    }
}
