package org.merlinwood.proving.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.merlinwood.platform.standin.Arrival;
import org.merlinwood.platform.standin.CallerCalls;
import org.merlinwood.platform.standin.InstanceCrash;
import org.merlinwood.platform.standin.StandInInstance;

/**
 * Checks that requests whose prompts share a part that crashes instances soon reach no instance, and that requests
 * beside them are still served. Used once.
 */
final class CrashingPartChecker {

    /** Number of crashes after which entries must know the part. */
    private static final int CRASHES_TO_LEARN = 5;

    /** Time that entries have to report to each other, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    /** Number of requests with the part that are tolerated later on. */
    private static final int TOLERATED_REQUESTS = 3;

    /** Smallest number of requests beside them from which a ratio follows. */
    private static final int MINIMUM_SAMPLE = 20;

    /** Ratio of requests that begin, compared with that without faults. */
    private static final double REQUIRED_PART_OF_USUAL_RATIO = 0.5;

    /** Faults of an entry after which it may not know what the others know. */
    private static final Set<FaultKind> FORGETTING =
            Set.of(FaultKind.ENTRY_KILLED, FaultKind.ENTRY_PAUSED, FaultKind.ENTRY_LEAVES);

    private final FaultPlan plan;
    private final List<Observation> observations;
    private final Set<String> crashingAttempts;
    private final List<Arrival> arrivals;
    private final List<Long> crashMillis;
    private final long startMillis;

    /**
     * Creates a checker of one seed.
     *
     * @param plan the faults that were injected
     * @param observations the attempts as callers observed them
     * @param crashingAttempts identifiers of the attempts whose prompt has the crashing part
     * @param arrivals the requests as they reached the instances
     * @param crashes the crashes that the part caused, in their order
     * @param startMillis monotonic time of the start of the load, in milliseconds
     */
    CrashingPartChecker(
            FaultPlan plan,
            List<Observation> observations,
            Set<String> crashingAttempts,
            List<Arrival> arrivals,
            List<InstanceCrash> crashes,
            long startMillis) {
        this.plan = plan;
        this.observations = List.copyOf(observations);
        this.crashingAttempts = Set.copyOf(crashingAttempts);
        this.arrivals = List.copyOf(arrivals);
        this.startMillis = startMillis;
        this.crashMillis = crashes.stream()
                .map(InstanceCrash::atMillis)
                .map(atMillis -> atMillis - startMillis)
                .toList();
    }

    /** Returns one message for each broken promise; empty if both held, or if no instance crashed by the part. */
    List<String> violations() {
        List<String> violations = new ArrayList<>();
        requestsReachedInstances().ifPresent(violations::add);
        soundRequestsNotServed().ifPresent(violations::add);
        return violations;
    }

    private Optional<String> requestsReachedInstances() {
        if (crashMillis.size() < CRASHES_TO_LEARN) {
            return Optional.empty();
        }
        long fromMillis = crashMillis.get(CRASHES_TO_LEARN - 1) + CONTACT_MILLIS;
        Map<String, Observation> byAttempt = observations.stream()
                .filter(observation -> crashingAttempts.contains(observation.attempt()))
                .collect(Collectors.toMap(Observation::attempt, Function.identity()));
        Map<String, List<Arrival>> late = arrivals.stream()
                .filter(arrival -> byAttempt.containsKey(arrival.attempt()))
                .filter(arrival -> atMillis(arrival) > fromMillis)
                .filter(arrival -> !disturbed(byAttempt.get(arrival.attempt()).entry(), atMillis(arrival)))
                .collect(Collectors.groupingBy(Arrival::attempt));
        long sent =
                late.values().stream().mapToLong(CrashingPartChecker::countSent).sum();
        return sent <= TOLERATED_REQUESTS
                ? Optional.empty()
                : Optional.of(sent + " requests with a part that crashes instances reached some later than "
                        + CONTACT_MILLIS + " ms after the fifth crash at " + crashMillis.get(CRASHES_TO_LEARN - 1)
                        + " ms; " + crashMillis.size() + " crashes");
    }

    private long atMillis(Arrival arrival) {
        return arrival.atMillis() - startMillis;
    }

    /** Counts how often an attempt was sent. A prefill and the decode behind it are one. */
    private static long countSent(List<Arrival> ofAttempt) {
        long decodes = ofAttempt.stream()
                .filter(arrival -> SoakDeployment.stage(arrival.instance()) == StandInInstance.Stage.DECODE)
                .count();
        return Math.max(1, decodes);
    }

    private Optional<String> soundRequestsNotServed() {
        Optional<ScheduledFault> fault = plan.faults().stream()
                .filter(each -> each.kind() == FaultKind.CRASHING_PART)
                .findFirst();
        if (fault.isEmpty() || crashMillis.isEmpty()) {
            return Optional.empty();
        }
        int learned = Math.min(CRASHES_TO_LEARN, crashMillis.size());
        long fromMillis = crashMillis.get(learned - 1) + 2 * CONTACT_MILLIS;
        List<Observation> during = soundStreams(observation -> observation.beganMillis() >= fromMillis
                && observation.beganMillis() < fault.get().endMillis()
                && !disturbed(observation.entry(), observation.beganMillis()));
        List<Observation> usual = soundStreams(observation -> observation.endMillis() < firstFaultMillis()
                || observation.beganMillis() > plan.endMillis() + SoakChecker.RECOVERY_MILLIS);
        if (during.size() < MINIMUM_SAMPLE || usual.size() < MINIMUM_SAMPLE) {
            return Optional.empty();
        }
        double ratio = beganRatio(during);
        double usualRatio = beganRatio(usual);
        return ratio >= REQUIRED_PART_OF_USUAL_RATIO * usualRatio
                ? Optional.empty()
                : Optional.of(
                        "beside requests with a part that crashes instances %.2f of %d sound ones began, %.2f of %d"
                                        .formatted(ratio, during.size(), usualRatio, usual.size())
                                + " without faults");
    }

    private List<Observation> soundStreams(Predicate<Observation> selected) {
        return observations.stream()
                .filter(observation -> observation.kind() == CallerCalls.Kind.STREAM)
                .filter(observation -> observation.end() != Observation.End.LEFT)
                .filter(observation -> !crashingAttempts.contains(observation.attempt()))
                .filter(selected)
                .toList();
    }

    private static double beganRatio(List<Observation> sample) {
        long began = sample.stream()
                .filter(observation ->
                        observation.status() == 200 && !observation.body().isEmpty())
                .count();
        return (double) began / sample.size();
    }

    private long firstFaultMillis() {
        return plan.faults().stream().mapToLong(ScheduledFault::atMillis).min().orElse(0);
    }

    /** Tells whether an entry was restarted or suspended within the contact time before some moment, or at it. */
    private boolean disturbed(int entry, long atMillis) {
        return plan.faults().stream()
                .filter(fault -> FORGETTING.contains(fault.kind()) && fault.target() == entry)
                .anyMatch(fault -> fault.atMillis() <= atMillis && atMillis <= fault.endMillis() + CONTACT_MILLIS);
    }
}
