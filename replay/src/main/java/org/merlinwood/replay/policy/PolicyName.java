package org.merlinwood.replay.policy;

import java.util.Arrays;

/** The policies that are compared. */
public enum PolicyName {
    /** The product's decisions. */
    MERLINWOOD("merlinwood"),
    /** Each instance in turn; decode memory first; waits as long as the caller does. */
    ROUND_ROBIN("round-robin"),
    /** Least reported load plus own work since that report; decode memory first; waits as long as the caller does. */
    LEAST_LOADED("least-loaded"),
    /** Least-loaded, but prefills at once and looks for decode memory afterwards. */
    PREFILL_FIRST("prefill-first");

    private final String label;

    PolicyName(String label) {
        this.label = label;
    }

    /**
     * Returns the name used on command lines and in measurements.
     *
     * @return lower case with hyphens
     */
    public String label() {
        return label;
    }

    /**
     * Finds a policy.
     *
     * @param label as returned by {@link #label}
     * @return the policy
     * @throws IllegalArgumentException if there is none
     */
    public static PolicyName of(String label) {
        return Arrays.stream(values())
                .filter(policy -> policy.label.equals(label))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("there is no policy " + label));
    }
}
