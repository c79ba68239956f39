package org.merlinwood.decision.placement.impl;

import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.core.identity.FailureDomain;

/** Network distance between an entry and an instance, with its weights for selection and placement. */
public enum Distance {
    /** The instance is in the entry's own failure domain. */
    OWN_DOMAIN(8, 0, 0),
    /** The instance is in another failure domain of the entry's region. */
    OWN_REGION(4, 64, 0.01),
    /** The instance is in another region. */
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
     * Returns the distance of an instance.
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
     * Returns the weight with which an instance at this distance is selected as a candidate.
     *
     * @return the weight, positive
     */
    public double selectionWeight() {
        return selectionWeight;
    }

    /**
     * Returns the cost of the distance in the placement of prefills.
     *
     * @return the cost, in prompt tokens
     */
    public long prefillTokens() {
        return prefillTokens;
    }

    /**
     * Returns the cost of the distance in the placement of decodes.
     *
     * @return the cost, as a share of the instance's memory
     */
    public double pieceShare() {
        return pieceShare;
    }
}
