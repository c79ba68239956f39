package review3;

/**
 * The figures that a case takes from the sheet of its site.
 *
 * @param intervalMillis interval of the streams that clients may take up again, in milliseconds
 * @param contactMillis time after which an entry is in touch, in milliseconds
 * @param budgetMillis time budget of a request, in milliseconds
 * @param slots requests that a runner runs at the same time
 * @param channels channels that a runner takes
 * @param memoryTokens tokens that a runner holds
 * @param repeatSlack bound of repeats, {@code budget_slack}
 */
record Site(
        long intervalMillis,
        long contactMillis,
        long budgetMillis,
        int slots,
        int channels,
        int memoryTokens,
        int repeatSlack) {

    /** cordillera-respuestas: 6.45 such streams a second. */
    static final Site CORDILLERA = new Site(155, 3_000, 14_000, 128, 620, 107_797, 56);

    /** cordillera-respuestas-grown: 33.2 such streams a second at 31 entries, of which a case has 8. */
    static final Site EIGHT_OF_CORDILLERA_GROWN = new Site(117, 4_000, 14_134, 12, 294, 65_447, 102);
}
