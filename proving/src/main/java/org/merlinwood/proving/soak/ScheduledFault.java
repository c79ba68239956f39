package org.merlinwood.proving.soak;

/**
 * One fault of a plan. Immutable.
 *
 * @param kind kind of the fault
 * @param target index of the affected entry or instance, from 0; 0 for the store and the load
 * @param atMillis start, in milliseconds from the start of the load
 * @param forMillis duration in milliseconds
 */
record ScheduledFault(FaultKind kind, int target, long atMillis, long forMillis) {

    long endMillis() {
        return atMillis + forMillis;
    }
}
