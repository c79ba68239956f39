package org.merlinwood.proving.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.merlinwood.platform.standin.Arrival;

/**
 * Checks that entries sent nothing to instances against what these had stated in their responses: that they want no
 * request for some time, or that they leave. Judges requests that carry an attempt; what an entry sends otherwise is in
 * its own counter. Stateless.
 */
final class NoticeChecker {

    /** Time after a response that names a time until the first request counts, in milliseconds. */
    private static final long DECLINED_SLACK_MILLIS = 500;

    /** Number of requests within a named time that are tolerated. */
    private static final int TOLERATED_REQUESTS = 2;

    /** Time after a response of a leaving instance until callers' new requests must go elsewhere, in milliseconds. */
    static final long DRAIN_MILLIS = 2_000;

    /** Time after the end of a fault within which an entry may still start anew, in milliseconds. */
    private static final long RESTART_MILLIS = 5_000;

    /** Faults of an entry after which it doesn't know, or couldn't read, what was stated to it. */
    private static final Set<FaultKind> FORGETTING =
            Set.of(FaultKind.ENTRY_KILLED, FaultKind.ENTRY_PAUSED, FaultKind.ENTRY_LEAVES);

    /** Faults on the path to an instance in which a response may be lost. */
    private static final Set<FaultKind> CUTTING = Set.of(
            FaultKind.INSTANCE_CRASHES,
            FaultKind.INSTANCE_SILENT,
            FaultKind.INSTANCE_DEAF,
            FaultKind.INSTANCE_MUTE,
            FaultKind.INSTANCE_RESET);

    private final FaultPlan plan;

    private NoticeChecker(FaultPlan plan) {
        this.plan = plan;
    }

    /** From one entry to one instance. */
    private record Path(int entry, String instance) {}

    /** A request at an instance with the attempt of its caller; times from the start of the load, in milliseconds. */
    private record Request(Arrival arrival, Observation observation, long atMillis) {

        Path path() {
            return new Path(observation.entry(), arrival.instance());
        }

        long declinedUntilMillis() {
            return atMillis + arrival.declinedMillis();
        }
    }

    /**
     * Checks the arrivals of one seed.
     *
     * @param plan the faults that were injected
     * @param observations the attempts as callers observed them
     * @param arrivals the requests as they reached the instances
     * @param startMillis monotonic time of the start of the load, in milliseconds
     * @return one message for each entry and instance with a broken promise
     */
    static List<String> violations(
            FaultPlan plan, List<Observation> observations, List<Arrival> arrivals, long startMillis) {
        Map<String, Observation> byAttempt =
                observations.stream().collect(Collectors.toMap(Observation::attempt, Function.identity()));
        Collection<List<Request>> byPath = arrivals.stream()
                .filter(arrival -> byAttempt.containsKey(arrival.attempt()))
                .map(arrival ->
                        new Request(arrival, byAttempt.get(arrival.attempt()), arrival.atMillis() - startMillis))
                .collect(Collectors.groupingBy(Request::path))
                .values();
        NoticeChecker checker = new NoticeChecker(plan);
        List<String> violations = new ArrayList<>();
        byPath.forEach(requests -> {
            checker.declinedTimeBroken(requests).ifPresent(violations::add);
            checker.drainBroken(requests).ifPresent(violations::add);
        });
        return violations;
    }

    private Optional<String> declinedTimeBroken(List<Request> requests) {
        return requests.stream()
                .filter(declined -> declined.arrival().declinedMillis() > 0)
                .filter(declined -> !forgotten(declined, declined.declinedUntilMillis()) && !maybeLost(declined))
                .filter(declined -> countWithin(requests, declined) > TOLERATED_REQUESTS)
                .map(declined -> "an instance named a time and got " + countWithin(requests, declined)
                        + " requests in it: " + declined)
                .findFirst();
    }

    private static long countWithin(List<Request> requests, Request declined) {
        return requests.stream()
                .filter(request -> request.atMillis() > declined.atMillis() + DECLINED_SLACK_MILLIS
                        && request.atMillis() < declined.declinedUntilMillis())
                .count();
    }

    private Optional<String> drainBroken(List<Request> requests) {
        return requests.stream()
                .filter(told -> told.arrival().leaving() && !maybeLost(told))
                .flatMap(told -> requests.stream()
                        .filter(request ->
                                request.arrival().start() == told.arrival().start()
                                        && request.observation().beganMillis() > told.atMillis() + DRAIN_MILLIS
                                        && !forgotten(told, request.atMillis()))
                        .map(request -> "an instance said that it leaves at " + told.atMillis()
                                + " ms and got a later request: " + request))
                .findFirst();
    }

    /** Tells whether the entry was restarted or suspended between a response and a later time. */
    private boolean forgotten(Request told, long untilMillis) {
        return plan.faults().stream()
                .filter(fault -> FORGETTING.contains(fault.kind())
                        && fault.target() == told.observation().entry())
                .anyMatch(fault ->
                        fault.atMillis() <= untilMillis && told.atMillis() <= fault.endMillis() + RESTART_MILLIS);
    }

    /** Tells whether the path to the instance was cut when its response was due. */
    private boolean maybeLost(Request told) {
        return plan.faults().stream()
                .filter(fault -> CUTTING.contains(fault.kind())
                        && SoakDeployment.name(fault.target())
                                .equals(told.arrival().instance()))
                .anyMatch(fault -> fault.atMillis() <= told.atMillis() + DECLINED_SLACK_MILLIS
                        && told.atMillis() <= fault.endMillis());
    }
}
