package org.merlinwood.replay.measure;

import org.HdrHistogram.Histogram;
import org.merlinwood.replay.policy.ModelAttempt;
import org.merlinwood.replay.policy.PrefillUse;
import org.merlinwood.replay.policy.RunOutcome;

/** Collects the outcomes of one replay. Not thread-safe. */
final class Tally {

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double PERCENTILE = 95;
    private static final double ROUNDING_FACTOR = 10_000;

    private final Histogram firstTokenMillis = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram gapMillis = new Histogram(SIGNIFICANT_DIGITS);
    private long offered;
    private long good;
    private long refused;
    private long computedTokens;
    private long wastedTokens;

    Histogram gapMillis() {
        return gapMillis;
    }

    void offered() {
        offered++;
    }

    void recordModelEnd(ModelAttempt attempt, RunOutcome outcome) {
        countOutcome(outcome, attempt.isWithinTargets());
        if (outcome == RunOutcome.WHOLE) {
            firstTokenMillis.recordValue(attempt.firstTokenMillis());
        }
    }

    void recordPlainEnd(RunOutcome outcome, boolean inTime) {
        countOutcome(outcome, inTime);
    }

    void recordPrefills(ModelAttempt attempt, RunOutcome outcome) {
        for (PrefillUse use : attempt.prefills()) {
            computedTokens += use.computedTokens();
            boolean used = use.hasProducedToken() && outcome == RunOutcome.WHOLE;
            wastedTokens += used ? 0 : use.computedTokens();
        }
    }

    Measurement measurement(String policy, String trace) {
        return new Measurement(
                policy,
                trace,
                rounded((double) good / Math.max(1, offered)),
                rounded((double) wastedTokens / Math.max(1, computedTokens)),
                offered,
                refused,
                firstTokenMillis.getValueAtPercentile(PERCENTILE),
                gapMillis.getValueAtPercentile(PERCENTILE));
    }

    long good() {
        return good;
    }

    private void countOutcome(RunOutcome outcome, boolean inTime) {
        good += outcome == RunOutcome.WHOLE && inTime ? 1 : 0;
        refused += outcome == RunOutcome.REFUSED ? 1 : 0;
    }

    private static double rounded(double share) {
        return Math.round(share * ROUNDING_FACTOR) / ROUNDING_FACTOR;
    }
}
