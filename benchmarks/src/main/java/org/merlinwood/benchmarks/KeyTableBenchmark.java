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

/** Measures the key table of a sidecar, by number of entries. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 300, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 3, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Fork(1)
public class KeyTableBenchmark {

    /** Number of keys in the table, each with a response of 512 bytes. */
    @Param({"1250", "2500", "5000", "10000"})
    public int entries;

    private KeyTable table;
    private KeyedRequest[] requests;
    private KeyedRequest newRequest;
    private int next;

    /** Fills the table. */
    @Setup(Level.Trial)
    public void fill() {
        table = KeyTables.of(entries);
        requests = new KeyedRequest[entries];
        for (int number = 0; number < entries; number++) {
            requests[number] = KeyTables.request(number);
        }
        newRequest = KeyTables.request(entries);
    }

    /**
     * Finds a stored response.
     *
     * @return the decision of the table, or empty if the key is unknown
     */
    @Benchmark
    public Optional<KeyDecision> find() {
        next = (next + 1) % entries;
        return table.find(requests[next]);
    }

    /**
     * Begins a request and records that it did not run.
     *
     * @return the refusal, or empty if the request may run
     */
    @Benchmark
    public Optional<Failure> begin() {
        Optional<Failure> refusal = table.begin(newRequest);
        table.recordNotRun(newRequest.key());
        return refusal;
    }
}
