package org.merlinwood.gateway.decision;

import org.merlinwood.gateway.upstream.UpstreamLoad;

/** What this entry knows of one instance: the work that it sent there, told load, and how calls ended. */
final class InstanceRecord {

    /** Weight of one more answer in the moving averages. */
    private static final double AVERAGE_WEIGHT = 0.2;

    /** First time without new work after a failure, in milliseconds: about ten round trips. */
    private static final long FIRST_PAUSE_MILLIS = 300;

    /** Longest time without new work, in milliseconds: a restart takes some seconds. */
    private static final long LONGEST_PAUSE_MILLIS = 2_400;

    /** Age at which a told load says nothing any more, in milliseconds. */
    private static final long LOAD_AGE_MILLIS = 500;

    private int running;
    private int tokens;
    private int peersRunning;
    private int peersTokens;
    private int toldOthers;
    private long toldMillis = Long.MIN_VALUE / 2;
    private int failuresInRow;
    private long pausedUntilMillis = Long.MIN_VALUE / 2;
    private double errorShare;
    private double averageMillis;

    // ------------------------------------------------------------------ work

    void begin(int addedTokens) {
        running++;
        tokens += addedTokens;
    }

    void end(int removedTokens) {
        running--;
        tokens -= removedTokens;
    }

    void peers(int othersRunning, int othersTokens) {
        peersRunning = othersRunning;
        peersTokens = othersTokens;
    }

    void told(UpstreamLoad load, long nowMillis) {
        toldOthers = Math.max(0, load.running() + load.waiting() - running);
        toldMillis = nowMillis;
    }

    int running() {
        return running;
    }

    int tokens() {
        return tokens;
    }

    /** Requests at the instance, those of other entries included as far as they are known. */
    int allRunning(long nowMillis) {
        int others = nowMillis - toldMillis <= LOAD_AGE_MILLIS ? Math.max(toldOthers, peersRunning) : peersRunning;
        return running + others;
    }

    int allTokens() {
        return tokens + peersTokens;
    }

    // ------------------------------------------------------------------ health

    void succeeded(long tookMillis) {
        failuresInRow = 0;
        pausedUntilMillis = Long.MIN_VALUE / 2;
        errorShare += (0 - errorShare) * AVERAGE_WEIGHT;
        averageMillis = averageMillis == 0 ? tookMillis : averageMillis + (tookMillis - averageMillis) * AVERAGE_WEIGHT;
    }

    void answeredError() {
        failuresInRow = 0;
        errorShare += (1 - errorShare) * AVERAGE_WEIGHT;
    }

    /** Pauses the instance; returns for how long, in milliseconds. */
    long failed(long nowMillis) {
        errorShare += (1 - errorShare) * AVERAGE_WEIGHT;
        long pause = Math.min(LONGEST_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(failuresInRow, 10));
        failuresInRow++;
        pausedUntilMillis = nowMillis + pause;
        return pause;
    }

    /** Whether new work may go there; behind a pause, one request at a time until one succeeds. */
    boolean open(long nowMillis) {
        if (failuresInRow == 0) {
            return true;
        }
        return nowMillis >= pausedUntilMillis && running == 0;
    }

    long pausedUntilMillis() {
        return pausedUntilMillis;
    }

    double errorShare() {
        return errorShare;
    }

    double averageMillis() {
        return averageMillis;
    }
}
