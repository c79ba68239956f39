package org.merlinwood.gateway.decision;

import java.util.List;
import java.util.Optional;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;

/**
 * Decides whether an instance of a model service should change its stage. Stateless.
 *
 * <p>Decode is limited by memory and prefill by compute, so prefill instances that the prompt rate does not need are
 * more useful as decode instances. A small prefill reserve is kept. Decode instances compute the prompts of a burst
 * that exceeds it, which costs less than leaving memory unused.
 *
 * <p>A stream goes on only at the software version that began it. So no version loses its second decode instance, and
 * the version with the fewest gets the next one.
 */
public final class StagePlan {

    /** Prefill throughput to keep, as a multiple of the prompt rate; decode instances compute what exceeds it. */
    private static final double PREFILL_RESERVE_RATIO = 1.2;

    /** Number of decode instances that each software version keeps, so that a stream can go on if one is lost. */
    private static final int DECODE_INSTANCES_PER_VERSION = 2;

    /** Smallest number of decode instances of which one may become a prefill instance. */
    private static final int MINIMUM_DECODE_INSTANCES = 4;

    private StagePlan() {}

    /**
     * Input of the decision for one service.
     *
     * @param instances instances of the service that accept work and are not changing their stage
     * @param highestPromptRate highest prompt rate of {@link RateHistory}, over all entries, in tokens per millisecond;
     *     0 while the rate is not stable
     * @param lowestPromptRate lowest prompt rate of {@link RateHistory}, over all entries, in tokens per millisecond; 0
     *     while the history is too short
     * @param prefillTokensPerMilli throughput of one prefill instance, in tokens per millisecond; 0 if unknown
     * @param requestsWithoutCapacity number of times that a request found no instance with capacity within the last
     *     {@link DemandMeter#WINDOW_MILLIS}, over all entries
     */
    public record View(
            List<UpstreamInstance> instances,
            double highestPromptRate,
            double lowestPromptRate,
            double prefillTokensPerMilli,
            int requestsWithoutCapacity) {}

    /**
     * A change of stage.
     *
     * @param instance the instance
     * @param stage its next stage
     */
    public record Change(UpstreamInstance instance, Stage stage) {}

    /**
     * Returns the next change of stage for a service.
     *
     * @param view input of the decision
     * @return the change, or empty if none is needed or the prefill throughput is unknown
     */
    public static Optional<Change> next(View view) {
        List<UpstreamInstance> prefills = withStage(view, Stage.PREFILL);
        List<UpstreamInstance> decodes = withStage(view, Stage.DECODE);
        if (view.prefillTokensPerMilli() <= 0) {
            return Optional.empty();
        }
        double requiredPrefills = view.highestPromptRate() / view.prefillTokensPerMilli();
        if (prefills.size() >= 2
                && requiredPrefills > 0
                && prefills.size() - 1 >= PREFILL_RESERVE_RATIO * requiredPrefills) {
            return fromLargestDomain(ofVersionWithFewest(prefills, decodes))
                    .map(instance -> new Change(instance, Stage.DECODE));
        }
        boolean overloaded = view.lowestPromptRate() / view.prefillTokensPerMilli() > prefills.size();
        if (overloaded && view.requestsWithoutCapacity() == 0 && decodes.size() >= MINIMUM_DECODE_INSTANCES) {
            return fromLargestDomain(ofVersionWithMoreThanNeeded(decodes))
                    .map(instance -> new Change(instance, Stage.PREFILL));
        }
        return Optional.empty();
    }

    private static List<UpstreamInstance> withStage(View view, Stage stage) {
        return view.instances().stream()
                .filter(instance -> instance.stage() == stage)
                .toList();
    }

    /** Returns the candidates whose version has the fewest decode instances; more than needed count as needed. */
    private static List<UpstreamInstance> ofVersionWithFewest(
            List<UpstreamInstance> candidates, List<UpstreamInstance> decodes) {
        int fewest = candidates.stream()
                .mapToInt(candidate -> countUpToNeeded(decodes, candidate))
                .min()
                .orElse(0);
        return candidates.stream()
                .filter(candidate -> countUpToNeeded(decodes, candidate) == fewest)
                .toList();
    }

    private static int countUpToNeeded(List<UpstreamInstance> decodes, UpstreamInstance candidate) {
        return Math.min(DECODE_INSTANCES_PER_VERSION, countOfSameVersion(decodes, candidate));
    }

    private static List<UpstreamInstance> ofVersionWithMoreThanNeeded(List<UpstreamInstance> decodes) {
        return decodes.stream()
                .filter(candidate -> countOfSameVersion(decodes, candidate) > DECODE_INSTANCES_PER_VERSION)
                .toList();
    }

    private static int countOfSameVersion(List<UpstreamInstance> instances, UpstreamInstance instance) {
        return (int) instances.stream()
                .filter(other -> other.version().equals(instance.version()))
                .count();
    }

    /** Returns an instance from the failure domain that holds the most of the given instances. */
    private static Optional<UpstreamInstance> fromLargestDomain(List<UpstreamInstance> instances) {
        return instances.stream()
                .max((one, other) ->
                        Long.compare(countInSameDomain(instances, one), countInSameDomain(instances, other)));
    }

    private static long countInSameDomain(List<UpstreamInstance> instances, UpstreamInstance instance) {
        return instances.stream()
                .filter(other -> other.domain().equals(instance.domain()))
                .count();
    }
}
