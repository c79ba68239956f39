package org.merlinwood.benchmarks;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.merlinwood.core.result.Failure;
import org.merlinwood.decision.idempotency.KeyDecision;
import org.merlinwood.decision.idempotency.KeyTable;
import org.merlinwood.decision.idempotency.KeyedRequest;
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

/** The table of keys of a sidecar, by entries. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 300, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 3, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Fork(1)
public class KeyTableBenchmark {

    /** Keys in the table, each with an answer of 512 bytes. */
    @Param({"1250", "2500", "5000", "10000"})
    public int entries;

    private KeyTable table;
    private KeyedRequest[] calls;
    private KeyedRequest newcomer;
    private int next;

    /** Fills the table. */
    @Setup(Level.Trial)
    public void fill() {
        table = KeyTables.of(entries);
        calls = new KeyedRequest[entries];
        for (int number = 0; number < entries; number++) {
            calls[number] = KeyTables.call(number);
        }
        newcomer = KeyTables.call(entries);
    }

    /**
     * Finds a stored answer.
     *
     * @return what the table decides
     */
    @Benchmark
    public Optional<KeyDecision> find() {
        next = (next + 1) % entries;
        return table.find(calls[next]);
    }

    /**
     * Begins a call and takes it back.
     *
     * @return whether it was refused
     */
    @Benchmark
    public Optional<Failure> begin() {
        Optional<Failure> refusal = table.begin(newcomer);
        table.recordNotRun(newcomer.key());
        return refusal;
    }
}
