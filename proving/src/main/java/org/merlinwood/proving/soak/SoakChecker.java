package org.merlinwood.proving.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;
import org.merlinwood.platform.standin.CallerCalls;

/** Compares the responses that callers observed with the runs of the instances. Stateless. */
final class SoakChecker {

    /**
     * Tolerated delay of a response beyond the request timeout, in milliseconds; covers scheduling on a busy machine.
     */
    static final long RESPONSE_DELAY_TOLERANCE_MILLIS = 500;

    /** Time after the last fault until the deployment must have recovered, in milliseconds; users are promised 15 s. */
    static final long RECOVERY_MILLIS = 8_000;

    /** Fraction of the requests after the recovery that must succeed. */
    private static final double REQUIRED_SUCCESS_RATIO = 0.97;

    private SoakChecker() {}

    /**
     * Checks the observations of one seed.
     *
     * @param plan the faults that were injected
     * @param observations the attempts as callers observed them
     * @param runs returns the number of runs of an attempt
     * @return one message for each broken promise; empty if all promises held
     */
    static List<String> violations(FaultPlan plan, List<Observation> observations, ToIntFunction<String> runs) {
        List<String> violations = new ArrayList<>();
        for (Observation observation : observations) {
            check(plan, observation, runs.applyAsInt(observation.attempt()), violations);
        }
        checkRecovery(plan, observations, violations);
        return violations;
    }

    private static void check(FaultPlan plan, Observation observation, int runs, List<String> violations) {
        if (observation.answered()
                && !CallerCalls.withoutVersions(observation.body())
                        .equals(CallerCalls.completeResponse(observation.kind(), observation.firstAttempt()))) {
            violations.add("an answer looks whole and is not: " + observation);
        }
        if (CallerCalls.versions(observation.body()).size() > 1) {
            violations.add("a stream holds events of several software versions: " + observation);
        }
        if (observation.end() == Observation.End.COMPLETE
                && CallerCalls.isNotRunStatus(observation.status())
                && runs > 0) {
            violations.add("refused as not run, but run " + runs + " times: " + observation);
        }
        if (observation.kind() == CallerCalls.Kind.BOOK && runs > 1) {
            violations.add("a call that must not be repeated was run " + runs + " times: " + observation);
        }
        if (disturbed(plan, observation)) {
            return;
        }
        if (observation.end() == Observation.End.COMPLETE
                && observation.elapsedMillis()
                        > CallerCalls.timeoutMillis(observation.kind()) + RESPONSE_DELAY_TOLERANCE_MILLIS) {
            violations.add("the final answer came late: " + observation);
        }
        if (observation.end() == Observation.End.UNREACHED) {
            violations.add("an entry that runs was not reached: " + observation);
        }
        if (observation.end() == Observation.End.BROKEN && observation.status() == 0) {
            violations.add("an entry that runs gave no answer: " + observation);
        }
    }

    /**
     * Tells whether the entry was affected by a fault or still recovering during the attempt. A draining entry may
     * close its connections. Reloading settings does not excuse a failed attempt.
     */
    private static boolean disturbed(FaultPlan plan, Observation observation) {
        return plan.faults().stream()
                .filter(fault ->
                        fault.kind().target() == FaultKind.Target.ENTRY && fault.target() == observation.entry())
                .filter(fault -> fault.kind() != FaultKind.ENTRY_RELOADS)
                .anyMatch(fault -> fault.atMillis() <= observation.endMillis()
                        && observation.beganMillis() <= fault.endMillis() + RECOVERY_MILLIS);
    }

    private static void checkRecovery(FaultPlan plan, List<Observation> observations, List<String> violations) {
        List<Observation> after = observations.stream()
                .filter(observation -> observation.end() != Observation.End.LEFT)
                .filter(observation -> observation.beganMillis() > plan.endMillis() + RECOVERY_MILLIS)
                .toList();
        long answered = after.stream().filter(Observation::answered).count();
        if (after.isEmpty() || answered < REQUIRED_SUCCESS_RATIO * after.size()) {
            violations.add("after the recovery " + answered + " of " + after.size() + " were answered");
        }
    }
}
