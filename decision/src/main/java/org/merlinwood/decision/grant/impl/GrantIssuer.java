package org.merlinwood.decision.grant.impl;

import java.util.ArrayList;
import java.util.List;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.decision.grant.Grant;
import org.merlinwood.decision.grant.GrantDemand;
import org.merlinwood.decision.grant.GrantEvent;

/**
 * Serves the queue: issues grants for the demands that fit, in their order, and refuses those that can't be served in
 * time. Not thread-safe.
 */
public final class GrantIssuer {

    private final MillisClock clock;
    private final WaitingQueue queue;
    private final Reservations reservations;
    private final ActiveTrials trials;
    private final IssuedGrants issued;
    private final Capacity capacity;
    private final RetryableFailures failures;
    private long grantMillis;

    /**
     * Creates an issuer.
     *
     * @param clock its monotonic time determines when grants expire and how long demands have waited
     * @param queue the demands that wait
     * @param reservations the current reservations, to which those of issued grants are added
     * @param trials the attempts on trial
     * @param issued numbers the grants
     * @param capacity free units and expected waits
     * @param failures creates the failures of refused demands
     */
    public GrantIssuer(
            MillisClock clock,
            WaitingQueue queue,
            Reservations reservations,
            ActiveTrials trials,
            IssuedGrants issued,
            Capacity capacity,
            RetryableFailures failures) {
        this.clock = clock;
        this.queue = queue;
        this.reservations = reservations;
        this.trials = trials;
        this.issued = issued;
        this.capacity = capacity;
        this.failures = failures;
    }

    /**
     * Sets how long new grants stay valid until they are used.
     *
     * @param unusedMillis time, in milliseconds
     */
    public void configure(long unusedMillis) {
        grantMillis = unusedMillis;
    }

    /**
     * Issues all grants that fit, and refuses the demands that would be served after their deadline.
     *
     * @return the resulting events
     */
    public List<GrantEvent> serveQueue() {
        List<GrantEvent> events = new ArrayList<>();
        long now = clock.monotonicMillis();
        long unitsAhead = 0;
        for (WaitingDemand waiting : queue.sorted()) {
            GrantDemand demand = waiting.demand();
            boolean blocked = reservations.hasReservation(demand.attempt().request())
                    || (demand.onTrial() && trials.isAnyActive());
            boolean fits = demand.units() == 0 || (unitsAhead == 0 && demand.units() <= capacity.freeUnits());
            if (!blocked && fits) {
                events.add(grant(waiting, now));
                continue;
            }
            long expected = capacity.expectedWaitMillis(unitsAhead, demand);
            if (now + expected > waiting.deadlineMillis() || now >= waiting.deadlineMillis()) {
                events.add(refuse(waiting, failures.noCapacity(demand, now - waiting.sinceMillis(), expected)));
                continue;
            }
            unitsAhead += blocked ? 0 : demand.units();
        }
        return events;
    }

    /**
     * Makes room in a full queue for a demand that ranks higher than the last one there.
     *
     * @param demand the demand; one without units needs no room
     * @return the refusal of the last demand, or an empty list if the queue is not full
     */
    public List<GrantEvent> evictLowestPriority(GrantDemand demand) {
        if (!queue.isFull() || demand.units() == 0) {
            return List.of();
        }
        return queue.last()
                .map(last -> List.of(refuse(
                        last,
                        failures.noCapacity(
                                last.demand(),
                                clock.monotonicMillis() - last.sinceMillis(),
                                capacity.expectedWaitMillis(last.demand())))))
                .orElse(List.of());
    }

    /**
     * Refuses all demands that wait, because the instance drains.
     *
     * @return the refusals
     */
    public List<GrantEvent> refuseAllDraining() {
        List<GrantEvent> events = new ArrayList<>();
        for (WaitingDemand waiting : queue.sorted()) {
            events.add(refuse(waiting, failures.draining(waiting.demand())));
        }
        return events;
    }

    private GrantEvent grant(WaitingDemand waiting, long now) {
        GrantDemand demand = waiting.demand();
        if (demand.onTrial()) {
            trials.start(demand.attempt());
        }
        queue.remove(demand.attempt());
        Grant grant = new Grant(issued.issue(), demand, now + grantMillis);
        reservations.add(new Reservation(grant, Reservation.Phase.UNUSED, now));
        return new GrantEvent.Granted(demand.attempt(), grant, grantMillis);
    }

    private GrantEvent refuse(WaitingDemand waiting, Failure failure) {
        queue.remove(waiting.demand().attempt());
        return new GrantEvent.Refused(waiting.demand().attempt(), failure);
    }
}
