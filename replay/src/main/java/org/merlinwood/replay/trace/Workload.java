package org.merlinwood.replay.trace;

/**
 * Parameters of the model requests of one trace. Immutable.
 *
 * @param callerClass name of the caller class
 * @param callers number of callers
 * @param ownTokensMedian median length of the part of a prompt that is not shared, in tokens
 * @param ownTokensSigma standard deviation of the logarithm of that length
 * @param maximumPromptTokens maximum length of a prompt, in tokens
 * @param sharedPrefixes number of shared prefixes
 * @param sharedTokens length of each shared prefix, in tokens
 * @param returnShare share of requests that continue an earlier thread, from 0 to 1
 * @param minimumOutputTokens minimum length of a response, in tokens
 * @param maximumOutputTokens maximum length of a response, which callers also state as their limit, in tokens
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

    /** Long reports on one of three forms, answered with a summary. */
    static final Workload REPORTS = new Workload("inspectors", 60, 5_000, 0.5, 30_000, 3, 1_024, 0.05, 150, 350);

    /** Long review threads after one of eight style guides, answered with a short reply. */
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
