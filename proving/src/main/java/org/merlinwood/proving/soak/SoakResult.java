package org.merlinwood.proving.soak;

import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import org.merlinwood.platform.standin.Arrival;
import org.merlinwood.platform.standin.CallerCalls;

/**
 * The result of one seed. Immutable.
 *
 * @param plan the faults that were injected
 * @param observations the attempts as callers observed them
 * @param arrivals the requests as they reached the instances
 * @param violations one message for each broken promise
 */
record SoakResult(FaultPlan plan, List<Observation> observations, List<Arrival> arrivals, List<String> violations) {

    /** Copies the lists. */
    SoakResult {
        observations = List.copyOf(observations);
        arrivals = List.copyOf(arrivals);
        violations = List.copyOf(violations);
    }

    /** Returns the counts of faults and outcomes in one line. They reveal a run that tested nothing. */
    String summary() {
        return String.format(
                Locale.ROOT,
                "%d faults, %d requests: %d answered, %d refused as not run, %d without a whole answer, %d left; "
                        + "%d streams taken up, %d of them whole",
                plan.faults().size(),
                observations.size(),
                count(Observation::answered),
                count(SoakResult::refused),
                count(SoakResult::failed),
                count(observation -> observation.end() == Observation.End.LEFT),
                count(Observation::takenUp),
                count(observation -> observation.takenUp() && observation.answered()));
    }

    private static boolean refused(Observation observation) {
        return observation.end() == Observation.End.COMPLETE && CallerCalls.isNotRunStatus(observation.status());
    }

    private static boolean failed(Observation observation) {
        return observation.end() != Observation.End.LEFT && !observation.answered() && !refused(observation);
    }

    private long count(Predicate<Observation> wanted) {
        return observations.stream().filter(wanted).count();
    }
}
