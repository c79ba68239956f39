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

/** What a change of the rules costs a process, by callers. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 300, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 3, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Fork(1)
public class RulesBenchmark {

    /** Callers in the rules. */
    @Param({"838", "1675", "3350", "6700"})
    public int callers;

    private String text;

    /** Writes the document. */
    @Setup(Level.Trial)
    public void fill() {
        text = RulesWriter.write(PlannedFleet.rules(callers));
    }

    /**
     * Reads and checks the document.
     *
     * @return the rules
     */
    @Benchmark
    public Either<DocumentErrors, Rules> read() {
        return RulesReader.read("rules", 2, text);
    }
}
