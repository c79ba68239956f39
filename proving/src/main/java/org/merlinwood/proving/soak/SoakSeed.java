package org.merlinwood.proving.soak;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Runs one seed: starts a deployment, applies load and faults, and checks the result. Used once.
 *
 * @param seed determines the faults and the load
 * @param faultsMillis period in which faults start, in milliseconds
 * @param folder folder for the settings and logs of the entries
 */
record SoakSeed(long seed, long faultsMillis, Path folder) {

    /** Duration of the load after the recovery time, in milliseconds. */
    private static final long AFTER_RECOVERY_MILLIS = 2_000;

    /** Time after the last request until instances hold nothing, in milliseconds; that of the longest reservation. */
    private static final long RELEASE_MILLIS = 2_500;

    /** Returns the faults of a seed. */
    static FaultPlan plan(long seed, long faultsMillis) {
        return FaultPlan.of(seed, faultsMillis, SoakDeployment.ENTRIES, SoakDeployment.instances());
    }

    /** Runs the seed and returns its result. */
    SoakResult run() throws InterruptedException {
        return run(plan(seed, faultsMillis));
    }

    /** Runs the load of the seed under other faults than its own, and returns the result. */
    SoakResult run(FaultPlan plan) throws InterruptedException {
        try (SoakDeployment deployment = new SoakDeployment(folder)) {
            deployment.awaitReady();
            return run(plan, deployment);
        }
    }

    private SoakResult run(FaultPlan plan, SoakDeployment deployment) throws InterruptedException {
        try (SoakLoad load = new SoakLoad(seed, deployment.callerAddresses(), plan);
                ExecutorService faults = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<Void>> steps = plan.faults().stream()
                    .map(fault -> faults.submit(steps(fault, deployment)))
                    .toList();
            List<Observation> observations =
                    load.run(plan.endMillis() + SoakChecker.RECOVERY_MILLIS + AFTER_RECOVERY_MILLIS);
            TimeUnit.MILLISECONDS.sleep(RELEASE_MILLIS);
            List<String> violations = new ArrayList<>(SoakChecker.violations(
                    plan, observations, attempt -> deployment.ledger().runs(attempt)));
            violations.addAll(NoticeChecker.violations(
                    plan, observations, deployment.ledger().arrivals(), load.startMillis()));
            violations.addAll(new CrashingPartChecker(
                            plan,
                            observations,
                            load.crashingAttempts(),
                            deployment.ledger().arrivals(),
                            deployment.ledger().crashes(),
                            load.startMillis())
                    .violations());
            deployment
                    .requestsToDeclining()
                    .forEach(count -> violations.add("an entry counts requests to declining instances: " + count));
            violations.addAll(deployment.endedUnexpectedly());
            if (deployment.heldCount() > 0) {
                violations.add(deployment.heldCount() + " runs, reservations or prompts are still held");
            }
            if (load.open() > 0) {
                violations.add(load.open() + " requests have no end");
            }
            steps.forEach(step -> addFailure(step, violations));
            return new SoakResult(plan, observations, deployment.ledger().arrivals(), violations);
        }
    }

    /**
     * Returns a task that starts a fault and ends it. Each fault has a thread of its own, so that its end cannot
     * precede its start on a busy machine.
     */
    private static Callable<Void> steps(ScheduledFault fault, SoakDeployment deployment) {
        return () -> {
            TimeUnit.MILLISECONDS.sleep(fault.atMillis());
            deployment.begin(fault);
            TimeUnit.MILLISECONDS.sleep(fault.forMillis());
            deployment.end(fault);
            return null;
        };
    }

    private static void addFailure(Future<?> step, List<String> violations) {
        if (step.state() != Future.State.SUCCESS) {
            violations.add("a fault could not be carried out: " + step);
        }
    }
}
