package org.merlinwood.gateway.decision;

import java.util.OptionalLong;

/**
 * Decides whether a streamed request waits for memory, and when a refused caller is to come back. Stateless.
 *
 * <p>A request waits where the forecast has room for it soon; otherwise it is refused at once. Callers who are refused
 * come back spread over time, since they were refused together.
 */
public final class MemoryWaitPolicy {

    /** Longest time that a request waits for room, in milliseconds: well within the pause that callers bear. */
    private static final long LONGEST_WAIT_MILLIS = 1_800;

    /** Longest time that a stream which has begun waits to go on, in milliseconds. */
    private static final long LONGEST_INTERRUPTION_MILLIS = 2_500;

    /** Part of the time left within which callers follow a time to come back. */
    private static final double FOLLOWED_PART = 0.33;

    /** Shortest time to come back, in milliseconds. */
    private static final long LEAST_RETRY_AFTER_MILLIS = 200;

    private MemoryWaitPolicy() {}

    /** What a request without room does. */
    public sealed interface Decision {

        /** It waits. */
        record Wait() implements Decision {}

        /**
         * It is refused.
         *
         * @param retryAfterMillis when the caller is to come back, in milliseconds
         */
        record Refuse(long retryAfterMillis) implements Decision {}
    }

    /**
     * What the decision rests on.
     *
     * @param waitedMillis how long the request has waited for room, or its stream was interrupted
     * @param begun whether the caller already has a part of the answer
     * @param millisUntilRoom forecast of room for it alone; empty if there is none in sight
     * @param ahead requests that wait before it
     * @param instances instances that could serve it
     * @param timeLeftMillis time that the caller has left
     * @param spread any number; spreads the returns
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
     * Decides.
     *
     * @param situation what is known
     * @return what follows
     */
    public static Decision decide(Situation situation) {
        long patience = situation.begun() ? LONGEST_INTERRUPTION_MILLIS : LONGEST_WAIT_MILLIS;
        long patienceLeft = Math.min(patience - situation.waitedMillis(), situation.timeLeftMillis());
        if (situation.begun() && patienceLeft > 0) {
            return new Decision.Wait();
        }
        if (situation.millisUntilRoom().isEmpty()) {
            return new Decision.Refuse(retryAfterMillis(0, situation.timeLeftMillis(), situation.spread()));
        }
        long expected = expectedMillis(situation);
        return expected < patienceLeft
                ? new Decision.Wait()
                : new Decision.Refuse(retryAfterMillis(expected, situation.timeLeftMillis(), situation.spread()));
    }

    /** Those ahead take the room of one instance after another. */
    private static long expectedMillis(Situation situation) {
        double turns = 1 + situation.ahead() / (double) Math.max(1, situation.instances());
        return Math.round(situation.millisUntilRoom().getAsLong() * turns);
    }

    /**
     * Tells a refused caller when to come back: when room is expected, and within the time that callers follow.
     *
     * @param expectedMillis when room is expected, in milliseconds
     * @param timeLeftMillis time that the caller has left
     * @param spread any number; spreads the returns
     * @return milliseconds from now
     */
    public static long retryAfterMillis(long expectedMillis, long timeLeftMillis, long spread) {
        long longest = Math.max(LEAST_RETRY_AFTER_MILLIS, Math.round(timeLeftMillis * FOLLOWED_PART));
        long shortest = Math.min(Math.max(expectedMillis, longest / 3), longest * 2 / 3);
        return shortest + Math.floorMod(spread * 7_919, longest - shortest + 1);
    }
}
