package org.merlinwood.proving.soak;

import java.util.List;
import java.util.function.Predicate;
import org.merlinwood.platform.standin.CallerCalls;

/**
 * What one seed showed.
 *
 * @param plan its faults
 * @param observations what callers saw
 * @param violations a sentence for each broken promise
 */
record SoakVerdict(FaultPlan plan, List<Observation> observations, List<String> violations) {

    /** Copies the lists. */
    SoakVerdict {
        observations = List.copyOf(observations);
        violations = List.copyOf(violations);
    }

    /** What happened, in one line, so that a verdict on nothing is seen. */
    String summary() {
        return "%d faults, %d requests: %d answered, %d refused as not run, %d without a whole answer, %d left"
                .formatted(
                        plan.faults().size(),
                        observations.size(),
                        count(Observation::answered),
                        count(SoakVerdict::refused),
                        count(SoakVerdict::failed),
                        count(seen -> seen.end() == Observation.End.LEFT));
    }

    private static boolean refused(Observation seen) {
        return seen.end() == Observation.End.COMPLETE && CallerCalls.isNotRunStatus(seen.status());
    }

    private static boolean failed(Observation seen) {
        return seen.end() != Observation.End.LEFT && !seen.answered() && !refused(seen);
    }

    private long count(Predicate<Observation> wanted) {
        return observations.stream().filter(wanted).count();
    }
}
