package org.merlinwood.replay.measure;

import org.HdrHistogram.Histogram;
import org.merlinwood.replay.policy.ModelRun;
import org.merlinwood.replay.policy.PrefillUse;
import org.merlinwood.replay.policy.RunOutcome;

/** Counts the outcomes of one replay. Not thread-safe. */
final class Tally {

    private static final int DIGITS = 3;
    private static final double PERCENTILE = 95;
    private static final double DECIMALS = 10_000;

    private final Histogram firstTokenMillis = new Histogram(DIGITS);
    private final Histogram gapMillis = new Histogram(DIGITS);
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

    void modelEnded(ModelRun run, RunOutcome outcome) {
        countOutcome(outcome, run.isWithinTargets());
        if (outcome == RunOutcome.WHOLE) {
            firstTokenMillis.recordValue(run.firstTokenMillis());
        }
    }

    void plainEnded(RunOutcome outcome, boolean inTime) {
        countOutcome(outcome, inTime);
    }

    void prefills(ModelRun run, RunOutcome outcome) {
        for (PrefillUse use : run.prefills()) {
            computedTokens += use.computedTokens();
            boolean used = use.isGeneratedFrom() && outcome == RunOutcome.WHOLE;
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
        return Math.round(share * DECIMALS) / DECIMALS;
    }
}
