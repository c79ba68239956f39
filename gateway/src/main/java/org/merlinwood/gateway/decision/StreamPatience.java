package org.merlinwood.gateway.decision;

/**
 * Decides how long a streamed request waits for memory, and when a refused caller is to come back. Stateless.
 *
 * <p>A request waits only while its first event can still come in time: memory that frees later serves a newer request
 * better. Callers who are refused come back spread over time, since they were refused together.
 */
public final class StreamPatience {

    /** Part of the target after which a first event can't come in time any more. */
    private static final double PATIENT_PART = 0.5;

    /** Pause between two questions for memory, in milliseconds. */
    private static final long ASK_AGAIN_MILLIS = 50;

    /** Longest time that a stream which has begun waits to go on, in milliseconds. */
    private static final long RESUME_PATIENCE_MILLIS = 2_500;

    /** Part of the time left within which callers follow a time to come back. */
    private static final double FOLLOWED_PART = 0.33;

    private static final long LEAST_RETRY_AFTER_MILLIS = 100;

    private StreamPatience() {}

    /** What a request without room does. */
    public sealed interface Verdict {

        /**
         * It asks again.
         *
         * @param afterMillis milliseconds from now
         */
        record AskAgain(long afterMillis) implements Verdict {}

        /**
         * It is refused.
         *
         * @param retryAfterMillis when the caller is to come back, in milliseconds
         */
        record Refuse(long retryAfterMillis) implements Verdict {}
    }

    /**
     * Decides.
     *
     * @param elapsedMillis time since the request came, in milliseconds
     * @param targetMillis time within which the first event is in time
     * @param timeLeftMillis time that the caller has left
     * @param interruptedMillis time since a stream that has begun was interrupted; negative for one that has not
     * @param spread any number; spreads the returns
     * @return what follows
     */
    public static Verdict judge(
            long elapsedMillis, long targetMillis, long timeLeftMillis, long interruptedMillis, long spread) {
        boolean patient = interruptedMillis >= 0
                ? interruptedMillis < RESUME_PATIENCE_MILLIS
                : elapsedMillis + ASK_AGAIN_MILLIS < Math.round(targetMillis * PATIENT_PART);
        if (patient && timeLeftMillis > ASK_AGAIN_MILLIS) {
            return new Verdict.AskAgain(ASK_AGAIN_MILLIS);
        }
        return new Verdict.Refuse(retryAfterMillis(timeLeftMillis, spread));
    }

    /**
     * Tells a refused caller when to come back.
     *
     * @param timeLeftMillis time that the caller has left
     * @param spread any number; spreads the returns
     * @return milliseconds from now
     */
    public static long retryAfterMillis(long timeLeftMillis, long spread) {
        long longest = Math.max(LEAST_RETRY_AFTER_MILLIS, Math.round(timeLeftMillis * FOLLOWED_PART));
        long shortest = longest / 3;
        return shortest + Math.floorMod(spread * 7_919, longest - shortest + 1);
    }
}
