package org.merlinwood.benchmarks;

import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.merlinwood.configuration.rules.CallerClass;
import org.merlinwood.configuration.rules.ServiceKind;
import org.merlinwood.configuration.rules.ServiceRule;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.decision.admission.Admission;
import org.merlinwood.decision.admission.AdmissionDecision;
import org.merlinwood.decision.admission.AdmissionQuery;
import org.merlinwood.decision.fairness.CallerShares;
import org.merlinwood.decision.placement.PlacementForecast;
import org.merlinwood.decision.retry.RetryBudget;
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

/** Measures the decisions that each request needs besides placement, by number of callers with open requests. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 300, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 3, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Fork(1)
public class DecisionBenchmark {

    /** Number of callers with open requests at one entry. */
    @Param({"838", "1675", "3350", "6700"})
    public int callers;

    private final CallerClass callerClass = PlannedFleet.callerClass();
    private final RetryBudget budget = new RetryBudget(20);
    private CallerShares shares;
    private Admission admission;
    private AdmissionQuery query;
    private CallerName[] names;
    private int next;

    /** Opens a request for each caller. */
    @Setup(Level.Trial)
    public void fill() {
        RetryDelay delay = new RetryDelay(RandomSource.XO_RO_SHI_RO_128_PP.create(1));
        shares = new CallerShares(delay);
        admission = new Admission(delay);
        names = new CallerName[callers];
        for (int number = 0; number < callers; number++) {
            names[number] = new CallerName("workspace-" + number);
            shares.tryAcquire(names[number], callerClass, false);
        }
        ServiceRule service = new ServiceRule(PlannedFleet.SERVICE, ServiceKind.MODEL, 1, 1, 30_000);
        query = new AdmissionQuery(
                callerClass, service, PlacementForecast.IMMEDIATE, new PlacementForecast(100, 300), 60, 0, 60_000);
    }

    /**
     * Acquires and releases the share of a caller.
     *
     * @return true if it was allowed
     */
    @Benchmark
    public boolean share() {
        next = (next + 1) % callers;
        boolean allowed = shares.tryAcquire(names[next], callerClass, true).isRight();
        if (allowed) {
            shares.release(names[next]);
        }
        return allowed;
    }

    /**
     * Decides on the admission of a request.
     *
     * @return the decision
     */
    @Benchmark
    public AdmissionDecision admit() {
        return admission.decide(query);
    }

    /**
     * Records a first attempt and requests a retry.
     *
     * @return true if it was allowed
     */
    @Benchmark
    public boolean retry() {
        budget.firstAttempt();
        return budget.tryRetry();
    }
}
