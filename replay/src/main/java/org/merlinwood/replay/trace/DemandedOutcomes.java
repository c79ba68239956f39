package org.merlinwood.replay.trace;

/**
 * The outcomes that a trace requires of the product's policy. Immutable.
 *
 * @param goodputOverBestBaseline minimum ratio of goodput to that of the best baseline
 * @param goodputOverLeastLoaded minimum ratio of goodput to that of least-loaded; 0 if not required
 * @param wasteOverPrefillFirst maximum ratio of wasted prefill to that of prefill-first; 1 if not required
 * @param wastedPrefill maximum share of wasted prefill; 1 if not required
 */
public record DemandedOutcomes(
        double goodputOverBestBaseline,
        double goodputOverLeastLoaded,
        double wasteOverPrefillFirst,
        double wastedPrefill) {

    /** Required of every trace. */
    public static final DemandedOutcomes ANY_TRACE = new DemandedOutcomes(1, 0, 1, 1);

    /** Required of a trace in which one resource is overloaded. */
    public static final DemandedOutcomes BOTTLENECK = new DemandedOutcomes(1, 1.3, 0.25, 0.02);
}
