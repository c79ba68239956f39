package org.merlinwood.configuration.document.impl;

import org.merlinwood.configuration.rules.Limits;

/** Reads the limits; each of them has a default. Stateless. */
final class LimitsTable {

    private static final long MAXIMUM_DURATION_MILLIS = 86_400_000;
    private static final long DEFAULT_RETRY_HORIZON_MILLIS = 600_000;
    private static final long MINIMUM_RETRY_HORIZON_MILLIS = 1_000;
    private static final int DEFAULT_KEY_TABLE_ENTRIES = 100_000;
    private static final int MAXIMUM_KEY_TABLE_ENTRIES = 10_000_000;
    private static final long DEFAULT_STORED_ANSWER_BYTES = 64L << 20;
    private static final long MAXIMUM_STORED_ANSWER_BYTES = 64L << 30;
    private static final long DEFAULT_GRANT_MILLIS = 2_000;
    private static final long MINIMUM_GRANT_MILLIS = 10;
    private static final long MAXIMUM_GRANT_MILLIS = 60_000;
    private static final long DEFAULT_DRAIN_MILLIS = 60_000;
    private static final int DEFAULT_RETRY_BUDGET_PERCENT = 10;
    private static final int MAXIMUM_RETRY_BUDGET_PERCENT = 100;
    private static final int DEFAULT_BODY_BYTES = 4 << 20;
    private static final int MINIMUM_BODY_BYTES = 1 << 10;
    private static final int MAXIMUM_BODY_BYTES = 64 << 20;
    private static final long DEFAULT_DEADLINE_MILLIS = 120_000;
    private static final long DEFAULT_QUARANTINE_MILLIS = 3_600_000;
    private static final long DEFAULT_CLOCK_BOUND_MILLIS = 2_000;

    private LimitsTable() {}

    static Limits read(RowReader table) {
        Limits limits = new Limits(
                duration(table, "retryHorizon", MINIMUM_RETRY_HORIZON_MILLIS, DEFAULT_RETRY_HORIZON_MILLIS),
                (int) table.wholeNumber("keyTableEntries", 1, MAXIMUM_KEY_TABLE_ENTRIES, DEFAULT_KEY_TABLE_ENTRIES),
                table.wholeNumber("storedAnswerBytes", 0, MAXIMUM_STORED_ANSWER_BYTES, DEFAULT_STORED_ANSWER_BYTES),
                table.durationMillis("grant", MINIMUM_GRANT_MILLIS, MAXIMUM_GRANT_MILLIS)
                        .orElse(DEFAULT_GRANT_MILLIS),
                duration(table, "drain", 0, DEFAULT_DRAIN_MILLIS),
                (int) table.wholeNumber(
                        "retryBudgetPercent", 0, MAXIMUM_RETRY_BUDGET_PERCENT, DEFAULT_RETRY_BUDGET_PERCENT),
                (int) table.wholeNumber("bodyBytes", MINIMUM_BODY_BYTES, MAXIMUM_BODY_BYTES, DEFAULT_BODY_BYTES),
                duration(table, "deadline", 1, DEFAULT_DEADLINE_MILLIS),
                duration(table, "quarantine", 0, DEFAULT_QUARANTINE_MILLIS),
                duration(table, "clockBound", 0, DEFAULT_CLOCK_BOUND_MILLIS));
        table.reportUnknownColumns();
        if (table.isValid()) {
            checkConsistency(table, limits);
        }
        return limits;
    }

    private static long duration(RowReader table, String name, long minimumMillis, long defaultMillis) {
        return table.durationMillis(name, minimumMillis, MAXIMUM_DURATION_MILLIS)
                .orElse(defaultMillis);
    }

    private static void checkConsistency(RowReader table, Limits limits) {
        if (limits.deadlineMillis() > limits.retryHorizonMillis()) {
            table.reportError(
                    "deadlineMillis",
                    "a request may take " + limits.deadlineMillis() + " ms, but its key is retained for "
                            + limits.retryHorizonMillis() + " ms",
                    "make deadlineMillis at most retryHorizonMillis");
        }
        if (limits.grantMillis() > limits.deadlineMillis()) {
            table.reportError(
                    "grantMillis",
                    "a grant is valid for " + limits.grantMillis() + " ms, longer than the deadline of a request, "
                            + limits.deadlineMillis() + " ms",
                    "make grantMillis at most deadlineMillis");
        }
        if (limits.clockBoundMillis() >= limits.retryHorizonMillis()) {
            table.reportError(
                    "clockBoundMillis",
                    "clocks may differ by " + limits.clockBoundMillis()
                            + " ms, which is not shorter than the time that a key is retained",
                    "make clockBoundMillis shorter than retryHorizonMillis");
        }
    }
}
