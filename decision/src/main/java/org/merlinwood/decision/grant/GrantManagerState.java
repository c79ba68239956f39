package org.merlinwood.decision.grant;

import java.util.List;
import org.merlinwood.decision.grant.impl.Holding;
import org.merlinwood.decision.grant.impl.WaitingDemand;
import org.merlinwood.decision.placement.LoadObservation;

/**
 * A copy of the whole book, for the state dump.
 *
 * @param load the load
 * @param lastGrant number of the latest grant
 * @param holdings grants that reserve units
 * @param waiting demands in the queue, best first
 */
public record GrantManagerState(
        LoadObservation load, long lastGrant, List<Holding> holdings, List<WaitingDemand> waiting) {}
