package org.merlinwood.replay.trace;

/**
 * Sizes of the model requests of one trace. Immutable.
 *
 * @param callerClass name of the callers' class
 * @param callers number of callers
 * @param ownTokensMedian median of the part of a prompt that is not shared, in tokens
 * @param ownTokensSigma spread of its logarithm
 * @param maximumPromptTokens longest prompt, in tokens
 * @param sharedPrefixes number of shared beginnings
 * @param sharedTokens length of each shared beginning, in tokens
 * @param returnShare share of requests that go on with an earlier thread
 * @param minimumOutputTokens shortest answer, in tokens
 * @param maximumOutputTokens longest answer, which is also what callers state, in tokens
 */
record Workload(
        String callerClass,
        int callers,
        double ownTokensMedian,
        double ownTokensSigma,
        int maximumPromptTokens,
        int sharedPrefixes,
        int sharedTokens,
        double returnShare,
        int minimumOutputTokens,
        int maximumOutputTokens) {

    /** Long reports on one of three forms; a summary comes out. */
    static final Workload REPORTS = new Workload("inspectors", 60, 5_000, 0.5, 30_000, 3, 1_024, 0.05, 150, 350);

    /** Long review threads behind one of eight style guides; a short reply comes out. */
    static final Workload REVIEWS = new Workload("managers", 150, 3_500, 0.6, 24_000, 8, 4_096, 0.25, 60, 160);

    Workload withOutput(int minimumTokens, int maximumTokens) {
        return new Workload(
                callerClass,
                callers,
                ownTokensMedian,
                ownTokensSigma,
                maximumPromptTokens,
                sharedPrefixes,
                sharedTokens,
                returnShare,
                minimumTokens,
                maximumTokens);
    }
}
