package org.merlinwood.benchmarks;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.merlinwood.configuration.document.DocumentErrors;
import org.merlinwood.configuration.document.InventoryReader;
import org.merlinwood.configuration.document.InventoryWriter;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.decision.idempotency.KeyHome;
import org.merlinwood.decision.idempotency.KeyHomes;
import org.merlinwood.decision.placement.UpstreamPool;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the work of a process when the inventory changes, by number of rows. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 300, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 3, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Fork(1)
public class InventoryBenchmark {

    /** Number of rows of the inventory. */
    @Param({"375", "750", "1500", "3000"})
    public int rows;

    private final IdempotencyKey key = new IdempotencyKey("01912d68-783e-7a9f-8f4e-2f5f0c1c9d11");
    private Inventory inventory;
    private String text;
    private UpstreamPool pool;
    private KeyHomes homes;

    /** Creates the inventory, its document and what is derived from it. */
    @Setup(Level.Trial)
    public void fill() {
        inventory = PlannedFleet.mixed(rows);
        homes = KeyHomes.of(inventory);
        text = InventoryWriter.write(inventory);
        pool = PlannedFleet.pool(inventory, InstanceRole.DECODE);
    }

    /**
     * Parses and validates the document.
     *
     * @return the inventory, or the errors of the document
     */
    @Benchmark
    public Either<DocumentErrors, Inventory> read() {
        return InventoryReader.read("inventory", 2, text);
    }

    /**
     * Updates one pool to the inventory.
     *
     * @return the updated pool
     */
    @Benchmark
    public UpstreamPool renewPool() {
        pool = pool.withInventory(inventory);
        return pool;
    }

    /**
     * Finds the home of a key that a caller created, without prepared lists.
     *
     * @return the home, or empty if there is none
     */
    @Benchmark
    public Optional<Instance> keyHome() {
        return KeyHome.of(key, inventory, PlannedFleet.PLAIN_SERVICE);
    }

    /**
     * Finds the home of a key that a caller created, with the lists that are prepared for the inventory.
     *
     * @return the home, or empty if there is none
     */
    @Benchmark
    public Optional<Instance> listedKeyHome() {
        return homes.of(key, PlannedFleet.PLAIN_SERVICE);
    }
}
