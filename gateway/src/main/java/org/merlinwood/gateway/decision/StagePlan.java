package org.merlinwood.gateway.decision;

import java.util.List;
import java.util.Optional;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;

/**
 * Decides whether an instance of a model service is to change its stage. Stateless.
 *
 * <p>Answers are bound by memory and prompts by computing, so prefill instances beyond what the prompts need are worth
 * more as decode instances. Prompts keep a small reserve: what comes beyond it in a burst is computed by decode
 * instances, which costs less than memory that is never used.
 */
public final class StagePlan {

    /** Computing that prefill instances must have, as a multiple of the prompts; decode instances compute the rest. */
    private static final double RESERVE = 1.2;

    /** Decode instances below which none is taken for prompts. */
    private static final int LEAST_DECODES = 4;

    private StagePlan() {}

    /**
     * What the plan rests on.
     *
     * @param instances instances of the service that take work and are not changing their stage
     * @param highestPromptRate most prompts that came lately, over all entries, in tokens a millisecond; 0 if not
     *     settled
     * @param lowestPromptRate prompts that came all the while, likewise
     * @param prefillTokensPerMilli what one prefill instance computes; 0 if it is not known
     * @param requestsWithoutCapacity requests of the last window that found no room, over all entries
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
     * Decides.
     *
     * @param view what is known
     * @return the change that is due, if one is
     */
    public static Optional<Change> next(View view) {
        List<UpstreamInstance> prefills = of(view, Stage.PREFILL);
        List<UpstreamInstance> decodes = of(view, Stage.DECODE);
        if (view.prefillTokensPerMilli() <= 0) {
            return Optional.empty();
        }
        double mostNeeded = view.highestPromptRate() / view.prefillTokensPerMilli();
        if (prefills.size() >= 2 && mostNeeded > 0 && prefills.size() - 1 >= RESERVE * mostNeeded) {
            return crowded(prefills).map(instance -> new Change(instance, Stage.DECODE));
        }
        boolean overloaded = view.lowestPromptRate() / view.prefillTokensPerMilli() > prefills.size();
        if (overloaded && view.requestsWithoutCapacity() == 0 && decodes.size() >= LEAST_DECODES) {
            return crowded(decodes).map(instance -> new Change(instance, Stage.PREFILL));
        }
        return Optional.empty();
    }

    private static List<UpstreamInstance> of(View view, Stage stage) {
        return view.instances().stream()
                .filter(instance -> instance.stage() == stage)
                .toList();
    }

    /** The instance in the failure domain that has most of them. */
    private static Optional<UpstreamInstance> crowded(List<UpstreamInstance> instances) {
        return instances.stream()
                .max((one, other) -> Long.compare(sameDomain(instances, one), sameDomain(instances, other)));
    }

    private static long sameDomain(List<UpstreamInstance> instances, UpstreamInstance instance) {
        return instances.stream()
                .filter(other -> other.domain().equals(instance.domain()))
                .count();
    }
}
