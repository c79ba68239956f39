package org.merlinwood.replay.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.merlinwood.replay.policy.PolicyName;
import org.merlinwood.replay.trace.DemandedOutcomes;

/**
 * Creates the bounds of a trace from its required outcomes and the measurements of all policies. Stateless and
 * thread-safe.
 */
final class Bounds {

    private Bounds() {}

    static List<Bound> of(DemandedOutcomes outcomes, List<Measurement> measurements) {
        Measurement product = of(PolicyName.MERLINWOOD, measurements);
        List<Bound> bounds = new ArrayList<>();
        double baselineMinimum = bestBaselineGoodput(measurements) * outcomes.goodputOverBestBaseline();
        bounds.add(new Bound(product.trace(), "goodput-over-best-baseline", baselineMinimum, true, product.goodput()));
        if (outcomes.goodputOverLeastLoaded() > 0) {
            double minimum = of(PolicyName.LEAST_LOADED, measurements).goodput() * outcomes.goodputOverLeastLoaded();
            bounds.add(new Bound(product.trace(), "goodput-over-least-loaded", minimum, true, product.goodput()));
        }
        if (outcomes.wasteOverPrefillFirst() < 1) {
            double maximum =
                    of(PolicyName.PREFILL_FIRST, measurements).wastedPrefill() * outcomes.wasteOverPrefillFirst();
            bounds.add(new Bound(product.trace(), "waste-over-prefill-first", maximum, false, product.wastedPrefill()));
        }
        if (outcomes.wastedPrefill() < 1) {
            bounds.add(new Bound(
                    product.trace(), "wasted-prefill", outcomes.wastedPrefill(), false, product.wastedPrefill()));
        }
        return bounds;
    }

    private static Measurement of(PolicyName policy, List<Measurement> measurements) {
        return measurements.stream()
                .filter(measurement -> measurement.policy().equals(policy.label()))
                .findFirst()
                .orElseThrow();
    }

    private static double bestBaselineGoodput(List<Measurement> measurements) {
        return measurements.stream()
                .filter(measurement -> !measurement.policy().equals(PolicyName.MERLINWOOD.label()))
                .max(Comparator.comparingDouble(Measurement::goodput))
                .orElseThrow()
                .goodput();
    }
}
