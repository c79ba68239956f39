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
 * One seed from start to verdict. Used once.
 *
 * @param seed fixes the faults and the load
 * @param faultsMillis how long faults begin, in milliseconds
 * @param folder where entries keep settings and logs
 */
record SoakSeed(long seed, long faultsMillis, Path folder) {

    /** How long the load goes on after the recovery, in milliseconds. */
    private static final long AFTER_RECOVERY_MILLIS = 2_000;

    /** Time after the last request's end until nothing is held any more, in milliseconds: the longest reservation. */
    private static final long QUIET_MILLIS = 2_500;

    /** The faults of a seed. */
    static FaultPlan plan(long seed, long faultsMillis) {
        return FaultPlan.of(seed, faultsMillis, SoakDeployment.ENTRIES, SoakDeployment.instances());
    }

    /** Runs the seed. */
    SoakVerdict run() throws InterruptedException {
        FaultPlan plan = plan(seed, faultsMillis);
        try (SoakDeployment deployment = new SoakDeployment(folder)) {
            deployment.awaitReady();
            return run(plan, deployment);
        }
    }

    private SoakVerdict run(FaultPlan plan, SoakDeployment deployment) throws InterruptedException {
        try (SoakLoad load = new SoakLoad(seed, deployment.callerAddresses());
                ExecutorService faults = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<Void>> steps = plan.faults().stream()
                    .map(fault -> faults.submit(steps(fault, deployment)))
                    .toList();
            List<Observation> observations =
                    load.run(plan.endMillis() + Judgement.RECOVERY_MILLIS + AFTER_RECOVERY_MILLIS);
            TimeUnit.MILLISECONDS.sleep(QUIET_MILLIS);
            List<String> violations = new ArrayList<>(Judgement.violations(
                    plan, observations, attempt -> deployment.ledger().runs(attempt)));
            violations.addAll(deployment.missing());
            if (deployment.held() > 0) {
                violations.add(deployment.held() + " runs, reservations or prompts are still held");
            }
            if (load.open() > 0) {
                violations.add(load.open() + " requests have no end");
            }
            steps.forEach(step -> addFailure(step, violations));
            return new SoakVerdict(plan, observations, violations);
        }
    }

    /** One thread for each fault, so that its end never overtakes its beginning on a busy machine. */
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
