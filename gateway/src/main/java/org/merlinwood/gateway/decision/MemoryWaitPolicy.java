package org.merlinwood.gateway.decision;

import java.util.OptionalLong;

/**
 * Decides whether a streamed request waits for memory or is refused, and after what time a refused caller should retry.
 * Stateless.
 *
 * <p>A request waits if memory is forecast to become free soon; otherwise it is refused at once. Retry-after times are
 * spread over an interval, since many callers are refused at the same time.
 */
public final class MemoryWaitPolicy {

    /** Longest time that a request waits for memory, in milliseconds: clearly less than callers tolerate. */
    private static final long MAXIMUM_WAIT_MILLIS = 1_800;

    /** Longest time that a stream waits to continue after its first event, in milliseconds. */
    private static final long MAXIMUM_INTERRUPTION_MILLIS = 2_500;

    /** Longest retry-after time that callers obey, as a fraction of the time that they have left. */
    private static final double MAXIMUM_RETRY_AFTER_RATIO = 0.33;

    /** Lower limit of that longest retry-after time, in milliseconds. */
    private static final long MINIMUM_LONGEST_RETRY_AFTER_MILLIS = 200;

    private MemoryWaitPolicy() {}

    /** Decision for a request that found no instance with enough memory. */
    public sealed interface Decision {

        /** The request waits. */
        record Wait() implements Decision {}

        /**
         * The request is refused.
         *
         * @param retryAfterMillis time after which the caller should retry, in milliseconds
         */
        record Refuse(long retryAfterMillis) implements Decision {}
    }

    /**
     * Input of the decision.
     *
     * @param waitedMillis time since the request arrived or since its stream was interrupted, in milliseconds
     * @param begun whether the caller has already received a part of the response
     * @param millisUntilRoom forecast of the time until one instance has enough memory for this request, other waiting
     *     requests disregarded, in milliseconds; empty if no such time can be forecast
     * @param ahead number of requests that are ahead of this one in the queue
     * @param instances number of instances that could serve the request
     * @param timeLeftMillis time until the caller's deadline, in milliseconds
     * @param spread any number, as the seed of the retry-after jitter
     */
    public record Situation(
            long waitedMillis,
            boolean begun,
            OptionalLong millisUntilRoom,
            int ahead,
            int instances,
            long timeLeftMillis,
            long spread) {}

    /**
     * Decides whether a request waits for memory.
     *
     * @param situation input of the decision
     * @return {@link Decision.Wait}, or {@link Decision.Refuse} with the time after which the caller should retry
     */
    public static Decision decide(Situation situation) {
        long limit = situation.begun() ? MAXIMUM_INTERRUPTION_MILLIS : MAXIMUM_WAIT_MILLIS;
        long limitLeft = Math.min(limit - situation.waitedMillis(), situation.timeLeftMillis());
        if (situation.begun() && limitLeft > 0) {
            return new Decision.Wait();
        }
        if (situation.millisUntilRoom().isEmpty()) {
            return new Decision.Refuse(retryAfterMillis(0, situation.timeLeftMillis(), situation.spread()));
        }
        long expected = expectedMillis(situation);
        return expected < limitLeft
                ? new Decision.Wait()
                : new Decision.Refuse(retryAfterMillis(expected, situation.timeLeftMillis(), situation.spread()));
    }

    /**
     * Decides whether a ranked request waits for memory: until it can't be served any more before its caller leaves. A
     * late response is worth less than one in time, but more than none, and the ranking keeps it from taking memory
     * from others meanwhile.
     *
     * @param situation input of the decision
     * @param request the request as it is ranked
     * @param nowMillis monotonic time, in milliseconds
     * @return {@link Decision.Wait}, or {@link Decision.Refuse} with the time after which the caller should retry
     */
    public static Decision decideRanked(Situation situation, WaitRanking.Request request, long nowMillis) {
        if (situation.begun() || situation.millisUntilRoom().isEmpty()) {
            return decide(situation);
        }
        boolean servable =
                WaitRanking.isServable(request, nowMillis) && request.firstEventMillis() < situation.timeLeftMillis();
        return servable
                ? new Decision.Wait()
                : new Decision.Refuse(retryAfterMillis(
                        situation.millisUntilRoom().getAsLong(), situation.timeLeftMillis(), situation.spread()));
    }

    /**
     * Returns the expected wait in milliseconds, assuming that the requests ahead are spread evenly over the instances
     * and that each of them delays this request as long as the forecast.
     */
    private static long expectedMillis(Situation situation) {
        double turns = 1 + situation.ahead() / (double) Math.max(1, situation.instances());
        return Math.round(situation.millisUntilRoom().getAsLong() * turns);
    }

    /**
     * Returns the time after which a refused caller should retry: when memory is expected to be free, but within the
     * time that callers obey.
     *
     * @param expectedMillis expected time until memory is free, in milliseconds; 0 if unknown
     * @param timeLeftMillis time until the caller's deadline, in milliseconds
     * @param jitterSeed any number; equal seeds give the same jitter
     * @return milliseconds from now, greater than 0
     */
    public static long retryAfterMillis(long expectedMillis, long timeLeftMillis, long jitterSeed) {
        long longest =
                Math.max(MINIMUM_LONGEST_RETRY_AFTER_MILLIS, Math.round(timeLeftMillis * MAXIMUM_RETRY_AFTER_RATIO));
        long shortest = Math.min(Math.max(expectedMillis, longest / 3), longest * 2 / 3);
        return shortest + Math.floorMod(jitterSeed * 7_919, longest - shortest + 1);
    }
}
