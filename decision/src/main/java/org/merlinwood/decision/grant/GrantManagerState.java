package org.merlinwood.decision.grant;

import java.util.List;
import org.merlinwood.decision.grant.impl.Reservation;
import org.merlinwood.decision.grant.impl.WaitingDemand;
import org.merlinwood.decision.placement.LoadObservation;

/**
 * A copy of the state of a {@link GrantManager}, for the state dump. Immutable.
 *
 * @param load the load at the time of the copy
 * @param lastGrant number of the latest grant, 0 before the first
 * @param holdings all reservations, oldest first
 * @param waiting queued demands in the order in which they are served
 */
public record GrantManagerState(
        LoadObservation load, long lastGrant, List<Reservation> holdings, List<WaitingDemand> waiting) {}
