package org.merlinwood.decision.grant;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.decision.grant.impl.ActiveTrials;
import org.merlinwood.decision.grant.impl.Capacity;
import org.merlinwood.decision.grant.impl.DemandRules;
import org.merlinwood.decision.grant.impl.GrantIssuer;
import org.merlinwood.decision.grant.impl.IssuedGrants;
import org.merlinwood.decision.grant.impl.KnownAttempts;
import org.merlinwood.decision.grant.impl.Reservation;
import org.merlinwood.decision.grant.impl.ReservationEnd;
import org.merlinwood.decision.grant.impl.Reservations;
import org.merlinwood.decision.grant.impl.RetryableFailures;
import org.merlinwood.decision.grant.impl.WaitingDemand;
import org.merlinwood.decision.grant.impl.WaitingQueue;
import org.merlinwood.decision.placement.LoadObservation;
import org.merlinwood.decision.retry.RetryDelay;

/**
 * Manages all grants of one incarnation of one sidecar and is the only place that decides what may run at its upstream.
 *
 * <p>A grant reserves units of capacity, belongs to the connection that requested it, expires on the clock of this
 * process and can be used once. Its units stay reserved until {@link #release}, which the sidecar calls once the
 * upstream holds no memory for the attempt.
 *
 * <p>Methods that change the state return the events to send to the entries, in the order in which they occurred. Each
 * attempt gets at most one final event, either {@link GrantEvent.Refused} or {@link GrantEvent.Cancelled}.
 *
 * <p>Not thread-safe: used by the control thread only.
 */
public final class GrantManager {

    /** Maximum number of demands in the queue. */
    public static final int MAXIMUM_WAITING = WaitingQueue.MAXIMUM_SIZE;

    private final MillisClock clock;
    private final RetryableFailures failures;
    private final Reservations reservations = new Reservations();
    private final WaitingQueue queue = new WaitingQueue();
    private final Capacity capacity = new Capacity(reservations, queue);
    private final KnownAttempts attempts = new KnownAttempts(reservations, queue);
    private final IssuedGrants issued = new IssuedGrants();
    private final ActiveTrials trials = new ActiveTrials(reservations);
    private final ReservationEnd reservationEnd;
    private final DemandRules rules;
    private final GrantIssuer issuer;

    // ------------------------------------------------------------------ configuration

    /**
     * Creates a manager without capacity; it refuses every demand until {@link #configure} sets one.
     *
     * @param clock its monotonic time determines when grants expire and how long demands have waited
     * @param retryDelay computes the retry delay of refused demands
     */
    public GrantManager(MillisClock clock, RetryDelay retryDelay) {
        this.clock = clock;
        this.failures = new RetryableFailures(retryDelay);
        this.reservationEnd = new ReservationEnd(clock, reservations, issued, capacity);
        this.rules = new DemandRules(queue, capacity, attempts, failures);
        this.issuer = new GrantIssuer(clock, queue, reservations, trials, issued, capacity, failures);
    }

    /**
     * Sets the limits. Grants that were issued before stay valid.
     *
     * @param units total units of capacity; 0 while the capacity is unknown
     * @param unusedMillis how long a grant stays valid until it is used, in milliseconds; applies to new grants
     * @return the resulting events
     */
    public List<GrantEvent> configure(int units, long unusedMillis) {
        capacity.configure(units);
        issuer.configure(unusedMillis);
        return issuer.serveQueue();
    }

    /**
     * Sets the assumed reservation time of a unit, which is used for wait estimates until the first reservation has
     * ended. Ignored afterwards.
     *
     * @param millis reservation time, in milliseconds
     */
    public void assumeReservationTime(long millis) {
        capacity.assumeReservationTime(millis);
    }

    // ------------------------------------------------------------------ life cycle

    /**
     * Starts to refuse demands. Queued demands are refused immediately; grants that were issued stay valid.
     *
     * @return the resulting events
     */
    public List<GrantEvent> drain() {
        rules.draining(true);
        return issuer.refuseAllDraining();
    }

    /** Accepts demands again after {@link #drain}. */
    public void resume() {
        rules.draining(false);
    }

    /**
     * Tells whether the manager has neither reservations nor queued demands.
     *
     * @return true if there are none
     */
    public boolean isIdle() {
        return reservations.all().isEmpty() && queue.size() == 0;
    }

    // ------------------------------------------------------------------ public API: granting

    /**
     * Requests a grant. Earlier attempts of the same request are cancelled.
     *
     * @param demand the demand
     * @return the resulting events: exactly one for the attempt itself, and any number for other attempts
     */
    public List<GrantEvent> request(GrantDemand demand) {
        List<GrantEvent> events = new ArrayList<>(supersedeEarlier(demand.attempt()));
        Optional<Failure> refusal = rules.refusalOf(demand);
        if (refusal.isPresent()) {
            events.add(new GrantEvent.Refused(demand.attempt(), refusal.get()));
            return events;
        }
        events.addAll(issuer.evictLowestPriority(demand));
        queue.add(demand, clock.monotonicMillis());
        events.addAll(issuer.serveQueue());
        if (queue.contains(demand.attempt())) {
            events.add(new GrantEvent.Waiting(demand.attempt(), capacity.expectedWaitMillis(demand)));
        }
        return events;
    }

    /**
     * Uses a grant. The grant can't be used again, whether this call succeeds or not.
     *
     * @param session the connection that carried the execute
     * @param number number of the grant
     * @param attempt the attempt to execute
     * @return the grant, or the failure if the attempt must not be executed
     */
    public Either<Failure, Grant> use(SessionNumber session, long number, AttemptIdentity attempt) {
        Optional<Reservation> found = reservations.ofGrant(number);
        if (found.isEmpty()) {
            return Either.left(issued.unknownGrantFailure(number));
        }
        Reservation reservation = found.get();
        if (reservation.phase() != Reservation.Phase.UNUSED) {
            return Either.left(Failure.of(ResultCode.GRANT_UNKNOWN, "the grant has already been used")
                    .withExecutionState(ExecutionState.UNKNOWN));
        }
        GrantDemand demand = reservation.grant().demand();
        if (!demand.session().equals(session) || !demand.attempt().equals(attempt)) {
            reservationEnd.invalidate(reservation);
            return Either.left(failures.soon(
                    ResultCode.GRANT_UNKNOWN, "the grant belongs to another attempt or connection", demand));
        }
        if (clock.monotonicMillis() >= reservation.grant().expiresAtMillis()) {
            reservationEnd.invalidate(reservation);
            return Either.left(failures.soon(ResultCode.GRANT_EXPIRED, "the grant expired before it was used", demand));
        }
        reservations.replace(reservation.withPhase(Reservation.Phase.RUNNING));
        return Either.right(reservation.grant());
    }

    /**
     * Releases the units of an attempt. To be called when its grant is returned unused, or when its upstream no longer
     * holds any memory for it.
     *
     * @param attempt the attempt
     * @return the resulting events for other attempts
     */
    public List<GrantEvent> release(AttemptIdentity attempt) {
        queue.remove(attempt);
        reservations.of(attempt).ifPresent(reservationEnd::release);
        return issuer.serveQueue();
    }

    /**
     * Releases the units of an attempt that has computed its result while the upstream retains the result. Until
     * {@link #release}, the attempt can be cancelled and blocks later attempts of its request.
     *
     * @param attempt the attempt; ignored if it is not running
     * @return the resulting events for other attempts
     */
    public List<GrantEvent> retainResult(AttemptIdentity attempt) {
        reservations
                .of(attempt)
                .filter(reservation -> reservation.phase() == Reservation.Phase.RUNNING)
                .ifPresent(reservationEnd::releaseUnits);
        return issuer.serveQueue();
    }

    /**
     * Marks a failed attempt as stopping. Its units stay reserved, and later attempts of its request stay blocked,
     * until {@link #release}.
     *
     * @param attempt the attempt; ignored if it has no reservation
     */
    public void markStopping(AttemptIdentity attempt) {
        trials.end(attempt);
        reservations
                .of(attempt)
                .ifPresent(reservation -> reservations.replace(reservation.withPhase(Reservation.Phase.STOPPING)));
    }

    /**
     * Ends the trial of an attempt that has run without crashing its engine; its units stay reserved.
     *
     * @param attempt the attempt
     * @return the resulting events for other attempts
     */
    public List<GrantEvent> passTrial(AttemptIdentity attempt) {
        return trials.end(attempt) ? issuer.serveQueue() : List.of();
    }

    // ------------------------------------------------------------------ public API: cancellation and expiry

    /**
     * Cancels one attempt, whether queued, granted or running. An attempt that is unknown or already stopping is
     * ignored.
     *
     * @param attempt the attempt
     * @param reason the failure to report to its entry
     * @return the resulting events
     */
    public List<GrantEvent> cancel(AttemptIdentity attempt, Failure reason) {
        List<GrantEvent> events = new ArrayList<>(cancelAttempt(attempt, reason));
        events.addAll(issuer.serveQueue());
        return events;
    }

    /**
     * Cancels all attempts of a request.
     *
     * @param request the request
     * @param reason the failure to report to its entry
     * @return the resulting events
     */
    public List<GrantEvent> cancelAll(RequestIdentifier request, Failure reason) {
        return cancelAll(attempts.of(request), reason);
    }

    /**
     * Cancels all attempts of a connection.
     *
     * @param session the closed connection
     * @return the resulting events
     */
    public List<GrantEvent> cancelSession(SessionNumber session) {
        return cancelAll(
                attempts.matching(demand -> demand.session().equals(session)),
                Failure.of(ResultCode.CONNECTION_LOST, "the connection to the entry was closed"));
    }

    /**
     * Cancels all attempts, whether queued, granted or running.
     *
     * @param reason the failure to report to the entries
     * @return the resulting events
     */
    public List<GrantEvent> cancelEverything(Failure reason) {
        return cancelAll(attempts.matching(demand -> true), reason);
    }

    /**
     * Expires unused grants and refuses queued demands that can't be served before their deadline. To be called every
     * few milliseconds.
     *
     * @return the resulting events
     */
    public List<GrantEvent> advance() {
        long now = clock.monotonicMillis();
        List<GrantEvent> events = new ArrayList<>();
        for (Reservation reservation : reservations.all()) {
            if (reservation.phase() == Reservation.Phase.UNUSED
                    && now >= reservation.grant().expiresAtMillis()) {
                reservationEnd.invalidate(reservation);
                GrantDemand demand = reservation.grant().demand();
                events.add(new GrantEvent.Refused(
                        demand.attempt(),
                        failures.soon(ResultCode.GRANT_EXPIRED, "the grant expired before it was used", demand)));
            }
        }
        events.addAll(issuer.serveQueue());
        return events;
    }

    // ------------------------------------------------------------------ public API: state

    /**
     * Returns the current load, which every message to an entry carries.
     *
     * @return the load
     */
    public LoadObservation load() {
        return new LoadObservation(
                (int) Math.max(0, capacity.freeUnits()),
                capacity.totalUnits(),
                reservations.count(Reservation.Phase.RUNNING) + reservations.count(Reservation.Phase.STOPPING),
                queue.size(),
                capacity.expectedWaitBehindQueueMillis(),
                queue.tokens() + reservations.tokens(),
                rules.draining());
    }

    /**
     * Tells whether an attempt is queued or has a reservation.
     *
     * @param attempt the attempt
     * @return true if it is known
     */
    public boolean contains(AttemptIdentity attempt) {
        return attempts.contains(attempt);
    }

    /**
     * Tells whether an attempt has a reservation and is on trial: it may have crashed an engine before, and no other
     * such attempt may run until this one has passed its trial.
     *
     * @param attempt the attempt
     * @return true until the attempt has passed its trial or its reservation has ended
     */
    public boolean isOnTrial(AttemptIdentity attempt) {
        return trials.contains(attempt);
    }

    /**
     * Tells whether any attempt of a request has a reservation.
     *
     * @param request the request
     * @return true if there is a reservation, also one without units
     */
    public boolean hasReservation(RequestIdentifier request) {
        return reservations.hasReservation(request);
    }

    /**
     * Returns all reservations and queued demands, for the state dump.
     *
     * @return a copy of the current state
     */
    public GrantManagerState state() {
        return new GrantManagerState(load(), issued.lastNumber(), reservations.all(), queue.sorted());
    }

    // ------------------------------------------------------------------ internals: cancellation

    private List<GrantEvent> supersedeEarlier(AttemptIdentity attempt) {
        List<AttemptIdentity> earlier = attempts.of(attempt.request()).stream()
                .filter(other -> other.attempt() < attempt.attempt())
                .toList();
        return earlier.isEmpty()
                ? List.of()
                : cancelAll(earlier, Failure.of(ResultCode.SUPERSEDED, "superseded by a later attempt of the request"));
    }

    private List<GrantEvent> cancelAll(List<AttemptIdentity> cancelled, Failure reason) {
        List<GrantEvent> events = new ArrayList<>();
        cancelled.forEach(attempt -> events.addAll(cancelAttempt(attempt, reason)));
        events.addAll(issuer.serveQueue());
        return events;
    }

    private List<GrantEvent> cancelAttempt(AttemptIdentity attempt, Failure reason) {
        Failure notRun = reason.withExecutionState(ExecutionState.NOT_RUN);
        Optional<WaitingDemand> waiting = queue.remove(attempt);
        if (waiting.isPresent()) {
            return List.of(new GrantEvent.Refused(attempt, notRun));
        }
        Optional<Reservation> reservation = reservations.of(attempt);
        if (reservation.isEmpty() || reservation.get().phase() == Reservation.Phase.STOPPING) {
            return List.of();
        }
        if (reservation.get().phase() == Reservation.Phase.UNUSED) {
            reservationEnd.invalidate(reservation.get());
            return List.of(new GrantEvent.Refused(attempt, notRun));
        }
        markStopping(attempt);
        return List.of(new GrantEvent.Cancelled(attempt, reason.withExecutionState(ExecutionState.UNKNOWN)));
    }
}
