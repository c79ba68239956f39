package org.merlinwood.benchmarks;

import io.vavr.control.Either;
import java.util.concurrent.TimeUnit;
import org.merlinwood.configuration.document.DocumentErrors;
import org.merlinwood.configuration.document.RulesReader;
import org.merlinwood.configuration.document.RulesWriter;
import org.merlinwood.configuration.rules.Rules;
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

/** Measures the work of a process when the rules change, by number of callers. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 300, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 3, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Fork(1)
public class RulesBenchmark {

    /** Number of callers in the rules. */
    @Param({"838", "1675", "3350", "6700"})
    public int callers;

    private String text;

    /** Creates the document. */
    @Setup(Level.Trial)
    public void fill() {
        text = RulesWriter.write(PlannedFleet.rules(callers));
    }

    /**
     * Parses and validates the document.
     *
     * @return the rules, or the errors of the document
     */
    @Benchmark
    public Either<DocumentErrors, Rules> read() {
        return RulesReader.read("rules", 2, text);
    }
}
