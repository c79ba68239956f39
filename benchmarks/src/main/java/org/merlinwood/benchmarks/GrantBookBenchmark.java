package org.merlinwood.benchmarks;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.decision.grant.AttemptIdentity;
import org.merlinwood.decision.grant.GrantDemand;
import org.merlinwood.decision.grant.GrantEvent;
import org.merlinwood.decision.grant.GrantManager;
import org.merlinwood.decision.grant.SessionNumber;
import org.merlinwood.decision.retry.RetryDelay;
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

/** Measures the grant manager of a sidecar, by number of issued grants. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 300, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 3, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Fork(1)
public class GrantBookBenchmark {

    private static final int PIECES = 3;
    private static final long TOKENS = 5_632;
    private static final long WAIT_MILLIS = 900;
    private static final long UNUSED_MILLIS = 3_000;
    private static final SessionNumber SESSION = new SessionNumber(1);

    /** Number of issued grants. */
    @Param({"8", "16", "32", "64"})
    public int held;

    private GrantManager grantManager;
    private long lastRequest;

    /** Issues the grants. */
    @Setup(Level.Trial)
    public void fill() {
        RetryDelay delay = new RetryDelay(RandomSource.XO_RO_SHI_RO_128_PP.create(1));
        grantManager = new GrantManager(new ManualMillisClock(1), delay);
        grantManager.configure((held + 1) * PIECES, UNUSED_MILLIS);
        for (int number = 0; number < held; number++) {
            grantManager.request(demand());
        }
    }

    /**
     * Requests a grant and releases it.
     *
     * @return the events of the release
     */
    @Benchmark
    public List<GrantEvent> grantAndRelease() {
        GrantDemand demand = demand();
        grantManager.request(demand);
        return grantManager.release(demand.attempt());
    }

    private GrantDemand demand() {
        AttemptIdentity attempt = new AttemptIdentity(new RequestIdentifier(0, ++lastRequest), 1);
        return new GrantDemand(SESSION, attempt, PIECES, TOKENS, 1, WAIT_MILLIS);
    }
}
