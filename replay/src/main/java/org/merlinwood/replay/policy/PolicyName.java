package org.merlinwood.replay.policy;

import java.util.Arrays;

/** The routing policies that a replay compares. */
public enum PolicyName {
    /** The decision code of the product. */
    MERLINWOOD("merlinwood"),
    /** Round robin; requests decode memory before the prefill; waits until the caller's timeout. */
    ROUND_ROBIN("round-robin"),
    /**
     * Lowest load, as the larger of the reported load and the entry's own work in progress; requests decode memory
     * before the prefill; waits until the caller's timeout.
     */
    LEAST_LOADED("least-loaded"),
    /** As {@link #LEAST_LOADED}, but runs the prefill first and requests decode memory afterwards. */
    PREFILL_FIRST("prefill-first");

    private final String label;

    PolicyName(String label) {
        this.label = label;
    }

    /**
     * Returns the name of the policy on command lines and in measurements.
     *
     * @return lower case with hyphens
     */
    public String label() {
        return label;
    }

    /**
     * Returns the policy with a label.
     *
     * @param label as returned by {@link #label}
     * @return the policy
     * @throws IllegalArgumentException if no policy has this label
     */
    public static PolicyName of(String label) {
        return Arrays.stream(values())
                .filter(policy -> policy.label.equals(label))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown policy " + label));
    }
}
