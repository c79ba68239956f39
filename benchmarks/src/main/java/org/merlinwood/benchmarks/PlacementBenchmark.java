package org.merlinwood.benchmarks;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.decision.placement.LoadObservation;
import org.merlinwood.decision.placement.PlacementQuery;
import org.merlinwood.decision.placement.UpstreamPool;
import org.merlinwood.decision.prefix.PrefixBlocks;
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

/** Measures one placement if all rows of the inventory are candidates of one pool. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 300, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 3, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Fork(1)
public class PlacementBenchmark {

    private static final int PROMPTS = 64;
    private static final int PROMPT_BLOCKS = 40;
    private static final int PIECES = 6;

    /** Number of candidates. */
    @Param({"375", "750", "1500", "3000"})
    public int candidates;

    /** Role of the pool. */
    @Param({"PREFILL", "DECODE", "PLAIN"})
    public InstanceRole role;

    private final PlacementQuery[] queries = new PlacementQuery[PROMPTS];
    private UpstreamPool pool;
    private int next;

    /** Fills the pool with loads and cached prefixes. */
    @Setup(Level.Trial)
    public void fill() {
        Inventory inventory = PlannedFleet.onePool(candidates, role);
        pool = PlannedFleet.pool(inventory, role);
        int number = 0;
        for (InstanceName name : pool.candidates()) {
            pool.observe(name, new LoadObservation(number % 64, 64, number % 16, 0, 0, number * 500L, false), 0);
            number++;
        }
        for (int prompt = 0; prompt < PROMPTS; prompt++) {
            PrefixBlocks blocks = Prompts.blocks(prompt, PROMPT_BLOCKS);
            queries[prompt] =
                    new PlacementQuery(PIECES, (long) PROMPT_BLOCKS * PrefixBlocks.BLOCK_TOKENS, blocks, 1, 1);
            pool.recordCached(pool.candidates().get(prompt % pool.candidates().size()), blocks, 1);
        }
    }

    /**
     * Chooses an instance for a request.
     *
     * @return the instance, or empty if there is none
     */
    @Benchmark
    public Optional<Instance> choose() {
        next = (next + 1) % PROMPTS;
        return pool.choose(queries[next], Set.of());
    }
}
