package org.merlinwood.following.impl;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.util.concurrent.TimeUnit;
import org.merlinwood.benchmarks.PlannedDocuments;
import org.merlinwood.core.result.Failure;
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

/** Measures encoding and applying an inventory delta with one changed row, by number of rows. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 300, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 3, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Fork(1)
public class TextDeltaBenchmark {

    /** Number of rows of the inventory. */
    @Param({"375", "750", "1500", "3000"})
    public int rows;

    private String base;
    private String target;
    private ByteString delta;

    /** Creates both documents and the delta. */
    @Setup(Level.Trial)
    public void write() {
        base = PlannedDocuments.inventory(rows);
        target = PlannedDocuments.inventoryWithOneChange(rows);
        delta = TextDelta.encode(base, target);
    }

    /**
     * Encodes a delta.
     *
     * @return the encoded delta
     */
    @Benchmark
    public ByteString encode() {
        return TextDelta.encode(base, target);
    }

    /**
     * Applies a delta.
     *
     * @return the document, or the reason why the delta does not apply
     */
    @Benchmark
    public Either<Failure, String> apply() {
        return TextDelta.apply(base, delta);
    }

    /**
     * Returns the size of a delta with one changed row.
     *
     * @param rows number of rows of the inventory
     * @return size in bytes
     */
    public static int deltaBytes(int rows) {
        return TextDelta.encode(PlannedDocuments.inventory(rows), PlannedDocuments.inventoryWithOneChange(rows))
                .size();
    }
}
