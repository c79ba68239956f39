package org.merlinwood.gateway.decision;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * Ranks the requests that compete for the memory of a service: which is tried first, which leaves memory to others, and
 * which can't be served any more. Stateless.
 *
 * <p>A stream that has begun goes before all others. Then come the requests that can still meet their target, then
 * those that can't, in each group by priority and then by size, where waiting counts as being smaller. The groups come
 * before the priority because a late response is worth a fraction of one in time. See
 * {@code docs/design/giving-way.md}, also for the figures behind the constants.
 */
public final class WaitRanking {

    /**
     * Time that must be left beyond the expected first event for a request to count as in time, in milliseconds. The
     * prompts of a burst delay each other.
     */
    private static final long MARGIN_MILLIS = 100;

    /** Waiting time in which a request comes to count as half as large, in milliseconds. */
    private static final double AGEING_MILLIS = 300;

    /** Lower bound of the time for which callers wait for a first event, in milliseconds. */
    private static final long MINIMUM_PATIENCE_MILLIS = 2_400;

    /** Time for which callers wait for a first event, as a multiple of the target. */
    private static final long PATIENCE_TARGETS = 4;

    /**
     * Number of instances with room that a request in time leaves for each one that is in time and more urgent. Leaving
     * a whole instance for each costs more responses in time than it gains, since most of them are placed before their
     * report arrives.
     */
    private static final double INSTANCES_LEFT_IN_TIME = 0.25;

    private WaitRanking() {}

    /**
     * A request that competes for memory.
     *
     * @param priority priority, 0 is the highest
     * @param begun whether the caller has already received a part of the response
     * @param arrivedMillis monotonic time of its arrival, in milliseconds
     * @param targetMillis target for the time from arrival to the first event, in milliseconds
     * @param firstEventMillis expected time from getting memory to the first event, in milliseconds
     * @param workTokens mean memory of the response, in tokens
     */
    public record Request(
            int priority,
            boolean begun,
            long arrivedMillis,
            long targetMillis,
            long firstEventMillis,
            long workTokens) {}

    /**
     * Numbers of waiting requests beside which one request is ranked, at this entry and at the others.
     *
     * @param moreUrgentInTime requests of a more urgent priority that can meet their target
     * @param moreUrgentLate requests of a more urgent priority that can't
     * @param othersInTime requests of the same or a less urgent priority that can meet their target
     */
    public record Competition(int moreUrgentInTime, int moreUrgentLate, int othersInTime) {

        /** Largest number that counts of one report: more than the instances of a service have room for. */
        private static final int MAXIMUM_REPORTED = 10_000;

        /**
         * Sums up reports.
         *
         * @param waiting reports of waiting requests of one service; numbers out of range are clamped
         * @param priority priority of the request that is ranked
         * @return the numbers as that request sees them
         */
        public static Competition of(List<EntryReport.WaitingRequests> waiting, int priority) {
            int moreUrgentInTime = 0;
            int moreUrgentLate = 0;
            int othersInTime = 0;
            for (EntryReport.WaitingRequests requests : waiting) {
                if (requests.priority() < priority) {
                    moreUrgentInTime += clamp(requests.inTime());
                    moreUrgentLate += clamp(requests.late());
                } else {
                    othersInTime += clamp(requests.inTime());
                }
            }
            return new Competition(moreUrgentInTime, moreUrgentLate, othersInTime);
        }

        private static int clamp(int reported) {
            return Math.clamp(reported, 0, MAXIMUM_REPORTED);
        }
    }

    /**
     * Number of instances that could take one request.
     *
     * @param withRoom instances that have room for it, as this entry knows them
     * @param all instances of the service
     */
    public record Room(int withRoom, int all) {}

    /**
     * Returns whether a request that gets memory now is expected to meet its target.
     *
     * @param request the request
     * @param nowMillis monotonic time, in milliseconds
     * @return true if its first event is expected in time, with a margin
     */
    public static boolean isInTime(Request request, long nowMillis) {
        return nowMillis + request.firstEventMillis() + MARGIN_MILLIS
                <= request.arrivedMillis() + request.targetMillis();
    }

    /**
     * Returns whether a request that gets memory now is expected to be served before its caller leaves.
     *
     * @param request the request
     * @param nowMillis monotonic time, in milliseconds
     * @return false if its first event would come too late; always true for a stream that has begun
     */
    public static boolean isServable(Request request, long nowMillis) {
        long patienceMillis = Math.max(MINIMUM_PATIENCE_MILLIS, PATIENCE_TARGETS * request.targetMillis());
        return request.begun() || nowMillis + request.firstEventMillis() < request.arrivedMillis() + patienceMillis;
    }

    /**
     * Returns the order in which waiting requests are tried.
     *
     * @param nowMillis monotonic time, in milliseconds
     * @return the order, first the request that is tried first
     */
    public static Comparator<Request> order(long nowMillis) {
        return Comparator.comparing((Request request) -> !request.begun())
                .thenComparing(request -> !isInTime(request, nowMillis))
                .thenComparingInt(Request::priority)
                .thenComparingDouble(request -> agedWork(request, nowMillis))
                .thenComparingLong(Request::arrivedMillis);
    }

    private static double agedWork(Request request, long nowMillis) {
        return request.workTokens() / (1 + Math.max(0, nowMillis - request.arrivedMillis()) / AGEING_MILLIS);
    }

    /**
     * Returns whether a request may try to get memory, or leaves it to others. It may try if there is more room than
     * the requests that rank before it are expected to use. If more than half of the instances have room, memory isn't
     * short, whatever entries report.
     *
     * @param request the request
     * @param competition the other waiting requests
     * @param room counts the instances that could take the request; called only if others rank before it
     * @param nowMillis monotonic time, in milliseconds
     * @return true if it may try
     */
    public static boolean mayTry(Request request, Competition competition, Supplier<Room> room, long nowMillis) {
        if (request.begun()) {
            return true;
        }
        double left = isInTime(request, nowMillis)
                ? competition.moreUrgentInTime() * INSTANCES_LEFT_IN_TIME
                : competition.moreUrgentInTime() + competition.moreUrgentLate() + competition.othersInTime();
        if (left == 0) {
            return true;
        }
        Room counted = room.get();
        return counted.withRoom() > left || 2 * counted.withRoom() > counted.all();
    }

    /**
     * Counts waiting requests, for the report to the other entries. Streams that have begun don't count, since they
     * leave nothing to others.
     *
     * @param service name of the service
     * @param requests waiting requests of the service
     * @param nowMillis monotonic time, in milliseconds
     * @return one element for each priority with waiting requests, the most urgent first
     */
    public static List<EntryReport.WaitingRequests> report(String service, List<Request> requests, long nowMillis) {
        Map<Integer, EntryReport.WaitingRequests> byPriority = new TreeMap<>();
        requests.stream().filter(request -> !request.begun()).forEach(request -> {
            boolean inTime = isInTime(request, nowMillis);
            byPriority.merge(
                    request.priority(),
                    new EntryReport.WaitingRequests(service, request.priority(), inTime ? 1 : 0, inTime ? 0 : 1),
                    (one, other) -> new EntryReport.WaitingRequests(
                            service, one.priority(), one.inTime() + other.inTime(), one.late() + other.late()));
        });
        return List.copyOf(byPriority.values());
    }
}
