package org.merlinwood.gateway.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.merlinwood.core.time.MillisClock;

/**
 * Decides whether a request of a plain service is refused because its response would be late at every instance, so that
 * later requests can still be answered in time. Confined to the event loop.
 *
 * <p>In doubt a request is admitted: if instances don't report their speed, if half of their slots are free, if nothing
 * waits, if an instance with an old report may have got through its work, or if the target could not be met without any
 * other request, so that a refusal would help nobody.
 */
public final class DeadlineAdmission {

    /**
     * Largest expected time at which a request is admitted, as a share of the time left to its target. Times of work
     * vary, so that a request whose expected time is just the time left is late as often as not.
     */
    private static final double ADMITTED_SHARE = 0.8;

    /** Share that is added while there are enough less urgent requests, which give way first. */
    private static final double LESS_URGENT_BONUS = 0.15;

    /** Share that is deducted while there are enough more urgent requests, so that these find room. */
    private static final double MORE_URGENT_MALUS = 0.25;

    /** Part of the recent requests that is enough; with a smaller part, bonus and malus are smaller. */
    private static final double ENOUGH_PART = 0.1;

    /** Age above which a report no longer tells how many requests have arrived since, in milliseconds. */
    private static final long MAXIMUM_REPORT_AGE_MILLIS = 250;

    private final PlainForecasts forecasts;
    private final MillisClock clock;
    private final Map<String, RecentPriorities> recentByService = new HashMap<>();

    /**
     * Creates an admission that has seen no request.
     *
     * @param forecasts forecasts of the completion of requests
     * @param clock source of the monotonic time
     */
    DeadlineAdmission(PlainForecasts forecasts, MillisClock clock) {
        this.forecasts = forecasts;
        this.clock = clock;
    }

    /**
     * A refusal.
     *
     * @param expectedMillis expected time of the response at the instance that is expected to complete it first, in
     *     milliseconds
     * @param excessMillis by how much this exceeds the limit, in milliseconds: about the time after which a request
     *     like this one would be admitted if none were until then
     */
    public record Refusal(long expectedMillis, long excessMillis) {}

    /**
     * Decides on a request that was not sent to any instance yet. Called once for each request.
     *
     * @param service name of the service
     * @param priority priority of the request, 0 is the highest
     * @param targetMillis target of the request from its arrival on, in milliseconds
     * @param targetLeftMillis time left to the target of the request, in milliseconds; may be negative
     * @return the refusal; empty if the request is admitted
     */
    public Optional<Refusal> check(String service, int priority, long targetMillis, long targetLeftMillis) {
        double limitMillis = Math.max(0, targetLeftMillis) * admittedShare(service, priority);
        return decide(forecasts.availableTargets(service), forecasts.workMillis(service), targetMillis, limitMillis);
    }

    private double admittedShare(String service, int priority) {
        RecentPriorities recent = recentByService.computeIfAbsent(service, ignored -> new RecentPriorities());
        recent.record(priority, clock.monotonicMillis());
        double bonus = LESS_URGENT_BONUS * Math.min(1, recent.lessUrgentPart(priority) / ENOUGH_PART);
        double malus = MORE_URGENT_MALUS * Math.min(1, recent.moreUrgentPart(priority) / ENOUGH_PART);
        return ADMITTED_SHARE + bonus - malus;
    }

    /**
     * Decides on a request.
     *
     * @param targets the instances that accept work; empty if they don't report their speed
     * @param workMillis usual time of work, in milliseconds; empty if it isn't known
     * @param targetMillis target of the request from its arrival on, in milliseconds
     * @param limitMillis largest expected time at which the request is admitted, in milliseconds
     * @return the refusal; empty if the request is admitted
     */
    static Optional<Refusal> decide(
            List<ArrivalSpread.Target> targets, OptionalDouble workMillis, long targetMillis, double limitMillis) {
        if (targets.isEmpty() || workMillis.isEmpty()) {
            return Optional.empty();
        }
        double[] arrivals = ArrivalSpread.shares(targets, ArrivalSpread.arrivals(targets));
        double slots = 0;
        double busySlots = 0;
        double waiting = 0;
        double leastUnits = Double.POSITIVE_INFINITY;
        double leastIdleUnits = Double.POSITIVE_INFINITY;
        for (int index = 0; index < arrivals.length; index++) {
            Backlog backlog = targets.get(index).backlog();
            double ahead = backlog.remaining() + arrivals[index];
            slots += backlog.slots();
            busySlots += Math.min(ahead, backlog.slots());
            waiting += Math.max(0, ahead - backlog.slots());
            leastIdleUnits = Math.min(leastIdleUnits, backlog.completion(0));
            leastUnits = Math.min(
                    leastUnits,
                    backlog.completion(
                            backlog.ageMillis() > MAXIMUM_REPORT_AGE_MILLIS ? backlog.leastRemaining() : ahead));
        }
        double expectedMillis = leastUnits * workMillis.getAsDouble();
        boolean free = busySlots <= slots / 2 || waiting < 1;
        boolean unreachable = leastIdleUnits * workMillis.getAsDouble() > targetMillis;
        return free || unreachable || expectedMillis <= limitMillis
                ? Optional.empty()
                : Optional.of(new Refusal(Math.round(expectedMillis), Math.round(expectedMillis - limitMillis)));
    }
}
