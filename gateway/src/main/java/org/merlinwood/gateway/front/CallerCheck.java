package org.merlinwood.gateway.front;

import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.follow.ConfirmationDemand;
import org.merlinwood.gateway.follow.CopyConfirmation;
import org.merlinwood.gateway.request.CallerRequest;
import org.merlinwood.gateway.route.Route;
import org.merlinwood.gateway.route.RouteTable;
import org.merlinwood.gateway.workspace.CallerIdentification;
import org.merlinwood.gateway.workspace.CallerIdentity;
import org.merlinwood.gateway.workspace.CopyState;
import org.merlinwood.gateway.workspace.Workspace;

/**
 * Identifies callers by the configuration in force, when their requests are dispatched and again before each is sent to
 * an instance. Used by the event loop alone.
 */
public final class CallerCheck {

    /** Shortest retry delay of a request whose key is not confirmed, in milliseconds: a read of the store. */
    private static final long SHORTEST_RETRY_MILLIS = 100;

    /** Longest such delay, in milliseconds. Other entries may serve the request at once. */
    private static final long LONGEST_RETRY_MILLIS = 400;

    /** Spreads the hash codes of similar attempts. */
    private static final int HASH_FACTOR = 0x9E3779B1;

    private final CallerIdentification identification;
    private final FleetState fleet;
    private final CopyConfirmation confirmation;
    private final ConfirmationDemand demand;
    private final MillisClock clock;

    /**
     * Creates the check.
     *
     * @param identification decides who a caller is
     * @param fleet has the configuration in force
     * @param confirmation how current that is
     * @param demand has it confirmed while keys are used
     * @param clock monotonic time
     */
    public CallerCheck(
            CallerIdentification identification,
            FleetState fleet,
            CopyConfirmation confirmation,
            ConfirmationDemand demand,
            MillisClock clock) {
        this.identification = identification;
        this.fleet = fleet;
        this.confirmation = confirmation;
        this.demand = demand;
        this.clock = clock;
    }

    /** Identifies the caller of a request that had been read completely at a monotonic time in milliseconds. */
    CallerIdentity identify(CallerRequest request, Route route, long readAtMillis) {
        CopyState copy =
                confirmation.state(fleet.routes().map(RouteTable::version).orElse(0L));
        CallerIdentity identity = identification.identify(
                fleet.routes().flatMap(RouteTable::workspaces),
                new CallerIdentification.Evidence(request.key(), route.keyRequired(), readAtMillis),
                copy,
                clock.monotonicMillis());
        boolean identifiesCallers = !(identity instanceof CallerIdentity.Unrestricted);
        if (identifiesCallers && request.key().isPresent() && identification.dependsOnCopy(identity)) {
            demand.onKeyUsed(copy, identity instanceof CallerIdentity.Unconfirmed);
        }
        return identity;
    }

    /**
     * Identifies the caller of a request again, which was identified when it was dispatched. If it is another one now,
     * or its name would have to be sent now, the request has to be sent again by its caller.
     */
    CallerIdentity identifyAgain(CallerRequest request, Route route, long readAtMillis) {
        CallerIdentity identity = identify(request, route, readAtMillis);
        if (identity instanceof CallerIdentity.Accepted accepted && !isSameCaller(request, accepted)) {
            return new CallerIdentity.Unconfirmed();
        }
        return identity;
    }

    private static boolean isSameCaller(CallerRequest request, CallerIdentity.Accepted accepted) {
        return request.identified()
                && request.workspace()
                        .map(Workspace::name)
                        .equals(accepted.workspace().map(Workspace::name));
    }

    /** Returns the delay after which a caller whose key is not confirmed should send a request again. */
    long retryAfterMillis(CallerRequest request) {
        long spread = request.attempt().hashCode() * (long) HASH_FACTOR + clock.monotonicMillis();
        return SHORTEST_RETRY_MILLIS + Math.floorMod(spread, LONGEST_RETRY_MILLIS - SHORTEST_RETRY_MILLIS + 1);
    }
}
