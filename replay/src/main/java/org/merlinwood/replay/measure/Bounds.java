package org.merlinwood.replay.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.merlinwood.replay.policy.PolicyName;
import org.merlinwood.replay.trace.DemandedOutcomes;

/** Compares measurements of one trace with the outcomes that it demands. Stateless and thread-safe. */
final class Bounds {

    private Bounds() {}

    static List<Bound> of(DemandedOutcomes outcomes, List<Measurement> measurements) {
        Measurement ours = of(PolicyName.MERLINWOOD, measurements);
        List<Bound> bounds = new ArrayList<>();
        double best = bestBaselineGoodput(measurements) * outcomes.goodputOverBestBaseline();
        bounds.add(new Bound(ours.trace(), "goodput-over-best-baseline", best, true, ours.goodput()));
        if (outcomes.goodputOverLeastLoaded() > 0) {
            double least = of(PolicyName.LEAST_LOADED, measurements).goodput() * outcomes.goodputOverLeastLoaded();
            bounds.add(new Bound(ours.trace(), "goodput-over-least-loaded", least, true, ours.goodput()));
        }
        if (outcomes.wasteOverPrefillFirst() < 1) {
            double most = of(PolicyName.PREFILL_FIRST, measurements).wastedPrefill() * outcomes.wasteOverPrefillFirst();
            bounds.add(new Bound(ours.trace(), "waste-over-prefill-first", most, false, ours.wastedPrefill()));
        }
        if (outcomes.wastedPrefill() < 1) {
            bounds.add(
                    new Bound(ours.trace(), "wasted-prefill", outcomes.wastedPrefill(), false, ours.wastedPrefill()));
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
