package org.merlinwood.gateway.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.merlinwood.gateway.upstream.UpstreamLoad;

/**
 * Load and health of one instance as this entry knows them: its own work there, the work that other entries reported,
 * the load that the instance reported, and the results of past attempts. Confined to the event loop.
 */
final class InstanceStatistics {

    /** Weight of the newest sample in the moving averages. */
    private static final double AVERAGE_WEIGHT = 0.2;

    /** Pause after the first failure, in milliseconds: about ten round trips. */
    private static final long INITIAL_PAUSE_MILLIS = 300;

    /** Upper bound of the pause after a failure, in milliseconds: a restart takes some seconds. */
    private static final long MAXIMUM_PAUSE_MILLIS = 2_400;

    /** Half-life of the error rate, in milliseconds. The decay lets a recovered instance get work again. */
    private static final double ERROR_HALF_LIFE_MILLIS = 2_000;

    /** Time for which a declined reservation tells that the instance is full, in milliseconds. */
    private static final long DECLINED_MILLIS = 100;

    /**
     * The same if waiting requests are ranked and no response there is known to have ended, in milliseconds. Within it
     * every entry has reported once more.
     */
    private static final long DECLINED_UNCHANGED_MILLIS = 300;

    /** Age above which the load that the instance reported is ignored, in milliseconds. */
    private static final long MAXIMUM_LOAD_AGE_MILLIS = 500;

    /** Time within which the response of an instance that wants no request has been read, in milliseconds. */
    private static final long TRIAL_MILLIS = 500;

    private final ReportedLoad reportedLoad = new ReportedLoad();
    private int running;
    private int promptTokens;
    private final List<ActiveGeneration> generations = new ArrayList<>();
    private final Map<String, EntryStatus.InstanceWork> peers = new HashMap<>();
    private int declinedTokens;
    private long declinedMillis = Long.MIN_VALUE / 2;

    /** Number of responses in progress up to which a declined reservation tells nothing any more. */
    private int declinedGenerations = Integer.MAX_VALUE;

    private int reportedOthers;
    private long reportedMillis = Long.MIN_VALUE / 2;
    private int consecutiveFailures;
    private long pausedUntilMillis = Long.MIN_VALUE / 2;
    private double errorRate;
    private long errorRateMillis;
    private double averageMillis;

    /**
     * Whether an attempt was given up since the last response, so that the instance may have declined in an unread
     * response.
     */
    private boolean responseUnread;

    /** The last attempt that was begun while a response was unread; empty once it has ended. */
    private Optional<ActivePlainAttempt> trial = Optional.empty();

    void beginPlainAttempt(ActivePlainAttempt attempt) {
        running++;
        reportedLoad.beginAttempt(attempt);
        if (responseUnread) {
            trial = Optional.of(attempt);
        }
    }

    /** Records the head of a response. What the instance states in it about itself is recorded elsewhere. */
    void recordPlainResponse(ActivePlainAttempt attempt) {
        attempt.excludeFurtherResponse();
        responseUnread = false;
        trial = Optional.empty();
    }

    void endPlainAttempt(ActivePlainAttempt attempt) {
        running--;
        reportedLoad.endAttempt(attempt);
        trial = trial.filter(open -> !open.equals(attempt));
        responseUnread |= attempt.responsePossible();
    }

    void beginPrompt(int tokens) {
        running++;
        promptTokens += tokens;
    }

    void endPrompt(int tokens) {
        running--;
        promptTokens -= tokens;
    }

    void beginGeneration(ActiveGeneration generation) {
        running++;
        generations.add(generation);
    }

    void endGeneration(ActiveGeneration generation) {
        if (generations.remove(generation)) {
            running--;
        }
    }

    void updatePeer(String address, EntryStatus.InstanceWork work) {
        peers.put(address, work);
    }

    void removePeer(String address) {
        peers.remove(address);
    }

    void recordDeclinedReservation(int tokens, long nowMillis) {
        declinedTokens = recentlyDeclined(declinedTokens, nowMillis) ? Math.min(declinedTokens, tokens) : tokens;
        declinedMillis = nowMillis;
        declinedGenerations = Integer.MAX_VALUE;
    }

    /**
     * Records a declined reservation that counts until a response there has ended. The declined response is still
     * registered.
     */
    void recordDeclinedUntilChange(int tokens, long nowMillis) {
        recordDeclinedReservation(tokens, nowMillis);
        declinedGenerations = knownGenerations() - 2;
    }

    /** Returns whether the instance has just declined a reservation of this size or a smaller one. */
    boolean recentlyDeclined(int tokens, long nowMillis) {
        long ageMillis = nowMillis - declinedMillis;
        return tokens >= declinedTokens
                && (ageMillis < DECLINED_MILLIS
                        || (ageMillis < DECLINED_UNCHANGED_MILLIS && knownGenerations() > declinedGenerations));
    }

    private int knownGenerations() {
        return generations.size()
                + peers.values().stream()
                        .mapToInt(work -> work.generations().size())
                        .sum();
    }

    void recordLoad(UpstreamLoad load, long nowMillis) {
        reportedOthers = Math.max(0, load.running() + load.waiting() - running);
        reportedMillis = nowMillis;
    }

    /** Returns what the instance reported of itself if it reports its speed, to this entry or to others. */
    ReportedLoad reportedLoad() {
        return reportedLoad;
    }

    /** Returns the number of requests of this entry at the instance. */
    int ownRunning() {
        return running;
    }

    boolean idle() {
        return running == 0;
    }

    /** Returns the work of this entry at the instance, to be sent to the other entries. */
    EntryStatus.InstanceWork work(String identifier) {
        return new EntryStatus.InstanceWork(
                identifier,
                running,
                promptTokens,
                generations.stream().map(ActiveGeneration::memoryGrowth).toList());
    }

    /**
     * Returns the number of requests at the instance, those of other entries included: the larger of what the entries
     * and, if its report is recent, the instance reported.
     */
    int allRunning(long nowMillis) {
        int peersRunning = peers.values().stream()
                .mapToInt(EntryStatus.InstanceWork::running)
                .sum();
        return running
                + (nowMillis - reportedMillis <= MAXIMUM_LOAD_AGE_MILLIS
                        ? Math.max(reportedOthers, peersRunning)
                        : peersRunning);
    }

    /** Returns the tokens of the prompts that are queued or being computed, those of other entries included. */
    int allPromptTokens() {
        return promptTokens
                + peers.values().stream()
                        .mapToInt(EntryStatus.InstanceWork::promptTokens)
                        .sum();
    }

    /** Returns the responses in progress, those that other entries reported included, as a new modifiable list. */
    List<MemoryForecast.Growth> allGenerations() {
        List<MemoryForecast.Growth> all = new ArrayList<>();
        generations.forEach(generation -> all.add(generation.memoryGrowth()));
        peers.values().forEach(work -> all.addAll(work.generations()));
        return all;
    }

    /** Records a success, which ends a pause, and its latency (of decode: the time per event). */
    void recordSuccess(long latencyMillis) {
        consecutiveFailures = 0;
        pausedUntilMillis = Long.MIN_VALUE / 2;
        errorRate += (0 - errorRate) * AVERAGE_WEIGHT;
        averageMillis =
                averageMillis == 0 ? latencyMillis : averageMillis + (latencyMillis - averageMillis) * AVERAGE_WEIGHT;
    }

    /** Records an error response. It raises the error rate, but the instance is not paused since it is reachable. */
    void recordErrorResponse(long nowMillis) {
        consecutiveFailures = 0;
        countError(nowMillis);
    }

    private void countError(long nowMillis) {
        errorRate = errorRate(nowMillis);
        errorRateMillis = nowMillis;
        errorRate += (1 - errorRate) * AVERAGE_WEIGHT;
    }

    /** Records a failure and pauses the instance; returns the length of the pause in milliseconds. */
    long recordFailure(long nowMillis) {
        countError(nowMillis);
        long pause = Math.min(MAXIMUM_PAUSE_MILLIS, INITIAL_PAUSE_MILLIS << Math.min(consecutiveFailures, 10));
        consecutiveFailures++;
        pausedUntilMillis = nowMillis + pause;
        return pause;
    }

    /**
     * Returns whether the instance may get new work. After a pause it gets one request at a time until it succeeds or
     * returns an error response.
     */
    boolean acceptsWork(long nowMillis) {
        if (consecutiveFailures == 0) {
            return true;
        }
        return nowMillis >= pausedUntilMillis && running == 0;
    }

    /**
     * Returns whether a paused instance may get a request if no other instance accepts work: always, unless a response
     * of it was not read. It may want no request then, and gets one at a time until it responds, or the next one after
     * {@link #TRIAL_MILLIS} without a response.
     */
    boolean mayBeTried(long nowMillis) {
        return !responseUnread
                || trial.map(open -> nowMillis - open.startedMillis() >= TRIAL_MILLIS)
                        .orElse(true);
    }

    long pausedUntilMillis() {
        return pausedUntilMillis;
    }

    /** Returns the moving average of the share of failed attempts, between 0 and 1, which decays with time. */
    double errorRate(long nowMillis) {
        return errorRate * Math.pow(0.5, (nowMillis - errorRateMillis) / ERROR_HALF_LIFE_MILLIS);
    }

    /** Returns the moving average of the latency in milliseconds; 0 before the first success. */
    double averageMillis() {
        return averageMillis;
    }
}
