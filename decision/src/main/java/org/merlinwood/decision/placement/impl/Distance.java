package org.merlinwood.decision.placement.impl;

import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.core.identity.FailureDomain;

/** How far an instance is from the entry, with the weight of each step. */
public enum Distance {
    /** In the entry's own failure domain. */
    OWN_DOMAIN(8, 0, 0),
    /** In another failure domain of the entry's region. */
    OWN_REGION(4, 64, 0.01),
    /** In another region. */
    OTHER_REGION(1, 1024, 0.1);

    private final double selectionWeight;
    private final long prefillTokens;
    private final double pieceShare;

    Distance(double selectionWeight, long prefillTokens, double pieceShare) {
        this.selectionWeight = selectionWeight;
        this.prefillTokens = prefillTokens;
        this.pieceShare = pieceShare;
    }

    /**
     * Measures the distance of an instance.
     *
     * @param instance the instance
     * @param ownDomain failure domain of the entry
     * @param ownRegion region of the entry
     * @return the distance
     */
    public static Distance of(Instance instance, FailureDomain ownDomain, String ownRegion) {
        if (instance.failureDomain().equals(ownDomain)) {
            return OWN_DOMAIN;
        }
        return instance.region().equals(ownRegion) ? OWN_REGION : OTHER_REGION;
    }

    /**
     * Returns how much likelier an instance at this distance is to become a candidate.
     *
     * @return the weight, positive
     */
    public double selectionWeight() {
        return selectionWeight;
    }

    /**
     * Returns what the distance costs when prefills are placed.
     *
     * @return the cost as tokens to be prefilled
     */
    public long prefillTokens() {
        return prefillTokens;
    }

    /**
     * Returns what the distance costs when decodes and plain calls are placed.
     *
     * @return the cost as a share of the instance's memory
     */
    public double pieceShare() {
        return pieceShare;
    }
}
