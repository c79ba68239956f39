package org.merlinwood.replay.trace;

import java.util.List;
import org.merlinwood.configuration.rules.CallerClass;

/**
 * Header of a trace, the first line of its file. Immutable.
 *
 * @param trace name of the trace
 * @param description purpose of the trace, in one sentence
 * @param seed seed from which the trace was generated
 * @param fleet the fleet
 * @param goodputWeight weight of goodput in the rule of the model service
 * @param wastedPrefillWeight weight of wasted prefill in the rule of the model service
 * @param retryBudgetPercent retries allowed per hundred first attempts in the rules
 * @param classes caller classes in the rules
 * @param callers behaviour of callers
 * @param outcomes outcomes that are required of the product's policy
 */
public record TraceHeader(
        String trace,
        String description,
        long seed,
        Fleet fleet,
        double goodputWeight,
        double wastedPrefillWeight,
        int retryBudgetPercent,
        List<CallerClass> classes,
        CallerBehaviour callers,
        DemandedOutcomes outcomes) {

    /** Copies the list. */
    public TraceHeader {
        classes = List.copyOf(classes);
    }

    /**
     * Returns a caller class.
     *
     * @param name name of the class
     * @return the caller class
     * @throws IllegalArgumentException if the header has no class of this name
     */
    public CallerClass callerClass(String name) {
        return classes.stream()
                .filter(row -> row.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("the trace header has no caller class " + name));
    }
}
