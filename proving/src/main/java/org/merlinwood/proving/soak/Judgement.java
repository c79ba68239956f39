package org.merlinwood.proving.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;
import org.merlinwood.platform.standin.CallerCalls;

/** Compares what callers saw with what instances ran. Stateless. */
final class Judgement {

    /** How much later than its limit a final answer may come, in milliseconds: a busy machine's scheduling. */
    static final long LATE_MILLIS = 500;

    /** Time after the last fault until everything serves again, in milliseconds; the users' own is 15 s. */
    static final long RECOVERY_MILLIS = 8_000;

    /** Part of the requests after the recovery that must be answered. */
    private static final double RECOVERED_PART = 0.97;

    private Judgement() {}

    /**
     * Judges.
     *
     * @param plan the faults
     * @param observations what callers saw
     * @param runs how often each attempt was run
     * @return a sentence for each broken promise
     */
    static List<String> violations(FaultPlan plan, List<Observation> observations, ToIntFunction<String> runs) {
        List<String> violations = new ArrayList<>();
        for (Observation seen : observations) {
            judge(plan, seen, runs.applyAsInt(seen.attempt()), violations);
        }
        judgeRecovery(plan, observations, violations);
        return violations;
    }

    private static void judge(FaultPlan plan, Observation seen, int runs, List<String> violations) {
        if (seen.answered() && !seen.body().equals(CallerCalls.completeResponse(seen.kind(), seen.attempt()))) {
            violations.add("an answer looks whole and is not: " + seen);
        }
        if (seen.end() == Observation.End.COMPLETE && CallerCalls.isNotRunStatus(seen.status()) && runs > 0) {
            violations.add("refused as not run, but run " + runs + " times: " + seen);
        }
        if (seen.kind() == CallerCalls.Kind.BOOK && runs > 1) {
            violations.add("a call that must not be repeated was run " + runs + " times: " + seen);
        }
        if (disturbed(plan, seen)) {
            return;
        }
        if (seen.end() == Observation.End.COMPLETE
                && seen.elapsedMillis() > CallerCalls.timeoutMillis(seen.kind()) + LATE_MILLIS) {
            violations.add("the final answer came late: " + seen);
        }
        if (seen.end() == Observation.End.UNREACHED) {
            violations.add("an entry that runs was not reached: " + seen);
        }
        if (seen.end() == Observation.End.BROKEN && seen.status() == 0) {
            violations.add("an entry that runs gave no answer: " + seen);
        }
    }

    /** Whether something was done to the entry that was asked while it was asked; a leaving entry may close. */
    private static boolean disturbed(FaultPlan plan, Observation seen) {
        return plan.faults().stream()
                .filter(fault -> fault.kind().target() == FaultKind.Target.ENTRY && fault.target() == seen.entry())
                .filter(fault -> fault.kind() != FaultKind.ENTRY_RELOADS)
                .anyMatch(fault -> fault.atMillis() <= seen.endMillis()
                        && seen.beganMillis() <= fault.endMillis() + RECOVERY_MILLIS);
    }

    private static void judgeRecovery(FaultPlan plan, List<Observation> observations, List<String> violations) {
        List<Observation> after = observations.stream()
                .filter(seen -> seen.end() != Observation.End.LEFT)
                .filter(seen -> seen.beganMillis() > plan.endMillis() + RECOVERY_MILLIS)
                .toList();
        long answered = after.stream().filter(Observation::answered).count();
        if (after.isEmpty() || answered < RECOVERED_PART * after.size()) {
            violations.add("after the recovery " + answered + " of " + after.size() + " were answered");
        }
    }
}
