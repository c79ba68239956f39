package org.merlinwood.benchmarks;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import org.apache.commons.rng.simple.RandomSource;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.decision.fairness.CallerShares;
import org.merlinwood.decision.placement.UpstreamPool;
import org.merlinwood.decision.retry.RetryDelay;

/** Prints the heap that each kind of state retains, at 1, 2, 4 and 8 eighths of the planned fleet size. */
public final class MemorySlopes {

    private static final int EIGHTHS = 8;
    private static final int PLANNED_KEYS = 10_000;
    private static final int COLLECTIONS = 4;
    private static final long SETTLE_MILLIS = 50;

    private MemorySlopes() {}

    /**
     * Prints one line for each kind of state and size.
     *
     * @param arguments ignored
     * @throws InterruptedException if interrupted while waiting for the garbage collector
     */
    public static void main(String[] arguments) throws InterruptedException {
        print("inventory, rows", PlannedFleet.INSTANCES, PlannedFleet::mixed);
        print("rules, callers", PlannedFleet.CALLERS, PlannedFleet::rules);
        print("inventory as text, rows", PlannedFleet.INSTANCES, PlannedDocuments::inventory);
        print("rules as text, callers", PlannedFleet.CALLERS, PlannedDocuments::rules);
        print("shares, callers with open requests", PlannedFleet.CALLERS, MemorySlopes::shares);
        print("keys with answers of 512 bytes", PLANNED_KEYS, KeyTables::of);
        Inventory inventory = PlannedFleet.mixed(PlannedFleet.INSTANCES);
        print("prefill pools", EIGHTHS, pools -> pools(inventory, InstanceRole.PREFILL, pools));
        print("decode pools", EIGHTHS, pools -> pools(inventory, InstanceRole.DECODE, pools));
    }

    private static void print(String kind, int full, IntFunction<Object> state) throws InterruptedException {
        for (int eighths = 1; eighths <= EIGHTHS; eighths *= 2) {
            int size = full * eighths / EIGHTHS;
            System.out.printf("memory %-36s %6d %10d bytes%n", kind, size, retainedBytes(state, size));
        }
    }

    private static long retainedBytes(IntFunction<Object> state, int size) throws InterruptedException {
        List<Object> retained = new ArrayList<>();
        retained.add(state.apply(size));
        retained.clear();
        long before = usedBytes();
        retained.add(state.apply(size));
        long after = usedBytes();
        return retained.isEmpty() ? 0 : after - before;
    }

    private static long usedBytes() throws InterruptedException {
        for (int collection = 0; collection < COLLECTIONS; collection++) {
            System.gc();
            Thread.sleep(SETTLE_MILLIS);
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static List<UpstreamPool> pools(Inventory inventory, InstanceRole role, int count) {
        List<UpstreamPool> pools = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            pools.add(PlannedFleet.pool(inventory, role));
        }
        return pools;
    }

    private static CallerShares shares(int callers) {
        CallerShares shares = new CallerShares(new RetryDelay(RandomSource.XO_RO_SHI_RO_128_PP.create(1)));
        for (int number = 0; number < callers; number++) {
            shares.tryAcquire(new CallerName("workspace-%05d".formatted(number)), PlannedFleet.callerClass(), false);
        }
        return shares;
    }
}
