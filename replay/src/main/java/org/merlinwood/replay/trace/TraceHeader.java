package org.merlinwood.replay.trace;

import java.util.List;
import org.merlinwood.configuration.rules.CallerClass;

/**
 * First line of a trace file. Immutable.
 *
 * @param trace name of the trace
 * @param description what the trace shows, in one sentence
 * @param seed seed that the trace was generated with
 * @param fleet the instances
 * @param goodputWeight weight of goodput in the rule of the model service
 * @param wastedPrefillWeight weight of wasted prefill in the rule of the model service
 * @param retryBudgetPercent repeated attempts per hundred first attempts in the rules
 * @param classes classes of callers in the rules
 * @param callers behaviour of callers
 * @param outcomes the outcomes demanded
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
     * Finds a class of callers.
     *
     * @param name its name
     * @return the class
     * @throws IllegalArgumentException if the header names no such class
     */
    public CallerClass callerClass(String name) {
        return classes.stream()
                .filter(row -> row.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("the trace has no class " + name));
    }
}
