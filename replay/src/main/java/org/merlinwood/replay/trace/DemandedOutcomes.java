package org.merlinwood.replay.trace;

/**
 * The outcomes that a trace demands of the product's policy. Immutable.
 *
 * @param goodputOverBestBaseline least ratio of goodput to that of the best baseline
 * @param goodputOverLeastLoaded least ratio of goodput to that of least-loaded; 0 where none is demanded
 * @param wasteOverPrefillFirst largest ratio of wasted prefill to that of prefill-first; 1 where none is demanded
 * @param wastedPrefill largest share of wasted prefill; 1 where none is demanded
 */
public record DemandedOutcomes(
        double goodputOverBestBaseline,
        double goodputOverLeastLoaded,
        double wasteOverPrefillFirst,
        double wastedPrefill) {

    /** What every trace demands. */
    public static final DemandedOutcomes ANY_TRACE = new DemandedOutcomes(1, 0, 1, 1);

    /** What a trace demands in which one resource is overloaded. */
    public static final DemandedOutcomes BOTTLENECK = new DemandedOutcomes(1, 1.3, 0.25, 0.02);
}
