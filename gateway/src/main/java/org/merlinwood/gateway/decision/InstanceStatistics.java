package org.merlinwood.gateway.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.merlinwood.gateway.upstream.UpstreamLoad;

/** What this entry knows of one instance: its own work there, that of its peers, told load, and how calls ended. */
final class InstanceStatistics {

    /** Weight of one more answer in the moving averages. */
    private static final double AVERAGE_WEIGHT = 0.2;

    /** First time without new work after a failure, in milliseconds: about ten round trips. */
    private static final long FIRST_PAUSE_MILLIS = 300;

    /** Longest time without new work, in milliseconds: a restart takes some seconds. */
    private static final long LONGEST_PAUSE_MILLIS = 2_400;

    /** Time in which the weight of past errors halves, in milliseconds: a recovered instance is found again. */
    private static final double ERROR_HALF_LIFE_MILLIS = 2_000;

    /** Age at which a told load says nothing any more, in milliseconds. */
    private static final long LOAD_AGE_MILLIS = 500;

    private int running;
    private int promptTokens;
    private final List<ActiveGeneration> answers = new ArrayList<>();
    private final Map<String, EntryStatus.InstanceWork> peers = new HashMap<>();
    private int toldOthers;
    private long toldMillis = Long.MIN_VALUE / 2;
    private int failuresInRow;
    private long pausedUntilMillis = Long.MIN_VALUE / 2;
    private double errorShare;
    private long errorShareMillis;
    private double averageMillis;

    // ------------------------------------------------------------------ work

    void beginPlainAttempt() {
        running++;
    }

    void endPlainAttempt() {
        running--;
    }

    void beginPrompt(int tokens) {
        running++;
        promptTokens += tokens;
    }

    void endPrompt(int tokens) {
        running--;
        promptTokens -= tokens;
    }

    void beginGeneration(ActiveGeneration answer) {
        running++;
        answers.add(answer);
    }

    void endGeneration(ActiveGeneration answer) {
        if (answers.remove(answer)) {
            running--;
        }
    }

    void updatePeer(String address, EntryStatus.InstanceWork work) {
        peers.put(address, work);
    }

    void removePeer(String address) {
        peers.remove(address);
    }

    void recordLoad(UpstreamLoad load, long nowMillis) {
        toldOthers = Math.max(0, load.running() + load.waiting() - running);
        toldMillis = nowMillis;
    }

    boolean idle() {
        return running == 0;
    }

    /** Work of this entry, for its peers. */
    EntryStatus.InstanceWork work(String identifier) {
        return new EntryStatus.InstanceWork(
                identifier,
                running,
                promptTokens,
                answers.stream().map(ActiveGeneration::memoryGrowth).toList());
    }

    /** Requests at the instance, those of other entries included as far as they are known. */
    int allRunning(long nowMillis) {
        int heard = peers.values().stream()
                .mapToInt(EntryStatus.InstanceWork::running)
                .sum();
        return running + (nowMillis - toldMillis <= LOAD_AGE_MILLIS ? Math.max(toldOthers, heard) : heard);
    }

    int allPromptTokens() {
        return promptTokens
                + peers.values().stream()
                        .mapToInt(EntryStatus.InstanceWork::promptTokens)
                        .sum();
    }

    /** Answers under way, those of other entries included as far as they are known. */
    List<MemoryForecast.Growth> allGenerations() {
        List<MemoryForecast.Growth> all = new ArrayList<>();
        answers.forEach(answer -> all.add(answer.memoryGrowth()));
        peers.values().forEach(work -> all.addAll(work.generations()));
        return all;
    }

    // ------------------------------------------------------------------ health

    void recordSuccess(long tookMillis) {
        failuresInRow = 0;
        pausedUntilMillis = Long.MIN_VALUE / 2;
        errorShare += (0 - errorShare) * AVERAGE_WEIGHT;
        averageMillis = averageMillis == 0 ? tookMillis : averageMillis + (tookMillis - averageMillis) * AVERAGE_WEIGHT;
    }

    void recordErrorResponse(long nowMillis) {
        failuresInRow = 0;
        countError(nowMillis);
    }

    private void countError(long nowMillis) {
        errorShare = errorShare(nowMillis);
        errorShareMillis = nowMillis;
        errorShare += (1 - errorShare) * AVERAGE_WEIGHT;
    }

    /** Pauses the instance; returns for how long, in milliseconds. */
    long recordFailure(long nowMillis) {
        countError(nowMillis);
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

    double errorShare(long nowMillis) {
        return errorShare * Math.pow(0.5, (nowMillis - errorShareMillis) / ERROR_HALF_LIFE_MILLIS);
    }

    double averageMillis() {
        return averageMillis;
    }
}
