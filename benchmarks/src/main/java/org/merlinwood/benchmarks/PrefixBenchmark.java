package org.merlinwood.benchmarks;

import java.util.concurrent.TimeUnit;
import org.merlinwood.decision.prefix.PrefixBlocks;
import org.merlinwood.decision.prefix.PrefixIndex;
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

/** Measures hashing a prompt and the prefix index, by length of the prompt. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 300, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 3, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Fork(1)
public class PrefixBenchmark {

    private static final int ROWS = 1 << 16;
    private static final int PROMPTS = 256;
    private static final long RETENTION_MILLIS = 600_000;

    /** Length of a prompt in blocks of 256 tokens. */
    @Param({"16", "32", "64", "128"})
    public int blocks;

    private final PrefixBlocks[] prompts = new PrefixBlocks[PROMPTS];
    private final int[] matched = new int[PrefixIndex.MAXIMUM_HOLDERS];
    private PrefixIndex index;
    private String text;
    private int next;

    /** Fills the index. */
    @Setup(Level.Trial)
    public void fill() {
        index = new PrefixIndex(ROWS, RETENTION_MILLIS);
        text = Prompts.text(0, blocks);
        for (int prompt = 0; prompt < PROMPTS; prompt++) {
            prompts[prompt] = Prompts.blocks(prompt, blocks);
            index.recordStored(prompt % 48, prompts[prompt], 1);
        }
    }

    /**
     * Hashes a prompt.
     *
     * @return the prefix blocks
     */
    @Benchmark
    public PrefixBlocks hash() {
        return PrefixBlocks.of(text);
    }

    /**
     * Looks up a prompt in the index.
     *
     * @return number of matching blocks by holder
     */
    @Benchmark
    public int[] match() {
        next = (next + 1) % PROMPTS;
        index.match(prompts[next], 1, matched);
        return matched;
    }

    /**
     * Records a prompt in the index.
     *
     * @return the index
     */
    @Benchmark
    public PrefixIndex store() {
        next = (next + 1) % PROMPTS;
        index.recordStored(next % 48, prompts[next], 1);
        return index;
    }
}
