package org.merlinwood.proving.soak;

/**
 * One fault of a plan.
 *
 * @param kind what happens
 * @param target index of the entry or instance that it happens to, from 0; 0 for the store
 * @param atMillis when it begins, in milliseconds from the start of the load
 * @param forMillis how long it lasts, in milliseconds
 */
record ScheduledFault(FaultKind kind, int target, long atMillis, long forMillis) {

    long endMillis() {
        return atMillis + forMillis;
    }
}
