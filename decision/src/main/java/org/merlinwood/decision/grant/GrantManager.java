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
import org.merlinwood.decision.grant.impl.Holding;
import org.merlinwood.decision.grant.impl.Holdings;
import org.merlinwood.decision.grant.impl.IssuedGrants;
import org.merlinwood.decision.grant.impl.RetryableFailures;
import org.merlinwood.decision.grant.impl.WaitEstimate;
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
    public static final int MAXIMUM_WAITING = 512;

    private final MillisClock clock;
    private final RetryableFailures failures;
    private final Holdings reservations = new Holdings();
    private final WaitingQueue queue = new WaitingQueue();
    private final WaitEstimate estimate = new WaitEstimate();
    private final IssuedGrants issued = new IssuedGrants();
    private final ActiveTrials trials = new ActiveTrials(reservations);
    private int capacityUnits;
    private long grantMillis;
    private boolean draining;

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
    }

    /**
     * Sets the limits. Grants that were issued before stay valid.
     *
     * @param units total units of capacity; 0 while the capacity is unknown
     * @param unusedMillis how long a grant stays valid until it is used, in milliseconds; applies to new grants
     * @return the resulting events
     */
    public List<GrantEvent> configure(int units, long unusedMillis) {
        capacityUnits = units;
        grantMillis = unusedMillis;
        return serveQueue();
    }

    /**
     * Sets the assumed reservation time of a unit, which is used for wait estimates until the first reservation has
     * ended. Ignored afterwards.
     *
     * @param millis reservation time, in milliseconds
     */
    public void assumeReservationTime(long millis) {
        estimate.assume(millis);
    }

    // ------------------------------------------------------------------ life cycle

    /**
     * Starts to refuse demands. Queued demands are refused immediately; grants that were issued stay valid.
     *
     * @return the resulting events
     */
    public List<GrantEvent> drain() {
        draining = true;
        List<GrantEvent> events = new ArrayList<>();
        for (WaitingDemand waiting : queue.sorted()) {
            events.add(refuse(waiting, failures.draining(waiting.demand())));
        }
        return events;
    }

    /** Accepts demands again after {@link #drain}. */
    public void resume() {
        draining = false;
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
        Optional<Failure> refusal = refusalOf(demand);
        if (refusal.isPresent()) {
            events.add(new GrantEvent.Refused(demand.attempt(), refusal.get()));
            return events;
        }
        events.addAll(evictLowestPriority(demand));
        queue.add(demand, clock.monotonicMillis());
        events.addAll(serveQueue());
        if (queue.contains(demand.attempt())) {
            events.add(new GrantEvent.Waiting(demand.attempt(), expectedWaitMillis(demand)));
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
        Optional<Holding> found = reservations.ofGrant(number);
        if (found.isEmpty()) {
            return Either.left(issued.unknownGrantFailure(number));
        }
        Holding reservation = found.get();
        if (reservation.phase() != Holding.Phase.UNUSED) {
            return Either.left(Failure.of(ResultCode.GRANT_UNKNOWN, "the grant has already been used")
                    .withExecutionState(ExecutionState.UNKNOWN));
        }
        GrantDemand demand = reservation.grant().demand();
        if (!demand.session().equals(session) || !demand.attempt().equals(attempt)) {
            invalidate(reservation);
            return Either.left(failures.soon(
                    ResultCode.GRANT_UNKNOWN, "the grant belongs to another attempt or connection", demand));
        }
        if (clock.monotonicMillis() >= reservation.grant().expiresAtMillis()) {
            invalidate(reservation);
            return Either.left(failures.soon(ResultCode.GRANT_EXPIRED, "the grant expired before it was used", demand));
        }
        reservations.replace(reservation.withPhase(Holding.Phase.RUNNING));
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
        reservations.of(attempt).ifPresent(this::releaseUnits);
        return serveQueue();
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
                .filter(reservation -> reservation.phase() == Holding.Phase.RUNNING)
                .ifPresent(this::retainUnitless);
        return serveQueue();
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
                .ifPresent(reservation -> reservations.replace(reservation.withPhase(Holding.Phase.STOPPING)));
    }

    /**
     * Ends the trial of an attempt that has run without crashing its engine; its units stay reserved.
     *
     * @param attempt the attempt
     * @return the resulting events for other attempts
     */
    public List<GrantEvent> passTrial(AttemptIdentity attempt) {
        return trials.end(attempt) ? serveQueue() : List.of();
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
        events.addAll(serveQueue());
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
        return cancelAll(attemptsOf(request), reason);
    }

    /**
     * Cancels all attempts of a connection.
     *
     * @param session the closed connection
     * @return the resulting events
     */
    public List<GrantEvent> cancelSession(SessionNumber session) {
        List<AttemptIdentity> attempts =
                new ArrayList<>(queue.attempts(demand -> demand.session().equals(session)));
        attempts.addAll(reservations.attempts(
                reservation -> reservation.grant().demand().session().equals(session)));
        return cancelAll(attempts, Failure.of(ResultCode.CONNECTION_LOST, "the connection to the entry was closed"));
    }

    /**
     * Cancels all attempts, whether queued, granted or running.
     *
     * @param reason the failure to report to the entries
     * @return the resulting events
     */
    public List<GrantEvent> cancelEverything(Failure reason) {
        List<AttemptIdentity> attempts = new ArrayList<>(queue.attempts(demand -> true));
        attempts.addAll(reservations.attempts(reservation -> true));
        return cancelAll(attempts, reason);
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
        for (Holding reservation : reservations.all()) {
            if (reservation.phase() == Holding.Phase.UNUSED
                    && now >= reservation.grant().expiresAtMillis()) {
                invalidate(reservation);
                GrantDemand demand = reservation.grant().demand();
                events.add(new GrantEvent.Refused(
                        demand.attempt(),
                        failures.soon(ResultCode.GRANT_EXPIRED, "the grant expired before it was used", demand)));
            }
        }
        events.addAll(serveQueue());
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
                (int) Math.max(0, freeUnits()),
                capacityUnits,
                reservations.count(Holding.Phase.RUNNING) + reservations.count(Holding.Phase.STOPPING),
                queue.size(),
                capacityUnits == 0 ? 0 : estimate.waitMillis(queue.units() + 1 - freeUnits(), capacityUnits),
                queue.tokens() + reservations.tokens(),
                draining);
    }

    /**
     * Tells whether an attempt is queued or has a reservation.
     *
     * @param attempt the attempt
     * @return true if it is known
     */
    public boolean contains(AttemptIdentity attempt) {
        return queue.contains(attempt) || reservations.of(attempt).isPresent();
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

    // ------------------------------------------------------------------ internals: admission

    private Optional<Failure> refusalOf(GrantDemand demand) {
        if (draining) {
            return Optional.of(failures.draining(demand));
        }
        if (capacityUnits == 0) {
            return Optional.of(
                    failures.soon(ResultCode.NOT_READY, "the capacity of the upstream is not known yet", demand));
        }
        if (demand.units() > capacityUnits) {
            return Optional.of(Failure.of(
                    ResultCode.PROMPT_TOO_LONG,
                    "the request needs " + demand.units() + " capacity units, but the total capacity is "
                            + capacityUnits));
        }
        if (reservations.of(demand.attempt()).isPresent() || queue.contains(demand.attempt())) {
            return Optional.of(
                    Failure.of(ResultCode.PROTOCOL_VIOLATION, "a grant for this attempt was requested twice"));
        }
        if (isOutdated(demand.attempt())) {
            return Optional.of(Failure.of(
                    ResultCode.SUPERSEDED, "a grant for a later attempt of the request was already requested"));
        }
        return refusalForWait(demand);
    }

    private Optional<Failure> refusalForWait(GrantDemand demand) {
        long expected = expectedWaitMillis(demand);
        if (expected > demand.waitMillis()) {
            return Optional.of(failures.noCapacity(demand, 0, expected));
        }
        boolean lastRanksAtLeastAsHigh = queue.last()
                .map(last -> last.demand().priority() <= demand.priority())
                .orElse(false);
        if (queue.size() >= MAXIMUM_WAITING && lastRanksAtLeastAsHigh) {
            return Optional.of(failures.noCapacity(demand, 0, expected));
        }
        return Optional.empty();
    }

    private List<GrantEvent> evictLowestPriority(GrantDemand demand) {
        if (queue.size() < MAXIMUM_WAITING || demand.units() == 0) {
            return List.of();
        }
        return queue.last()
                .map(last -> List.of(refuse(
                        last,
                        failures.noCapacity(
                                last.demand(),
                                clock.monotonicMillis() - last.sinceMillis(),
                                expectedWaitMillis(last.demand())))))
                .orElse(List.of());
    }

    private long expectedWaitMillis(GrantDemand demand) {
        if (demand.units() == 0) {
            return 0;
        }
        long unitsAhead = queue.sorted().stream()
                .map(WaitingDemand::demand)
                .takeWhile(other -> !other.attempt().equals(demand.attempt()))
                .filter(other -> other.priority() <= demand.priority())
                .mapToLong(GrantDemand::units)
                .sum();
        return estimate.waitMillis(unitsAhead + demand.units() - freeUnits(), capacityUnits);
    }

    private long freeUnits() {
        return capacityUnits - reservations.units();
    }

    // ------------------------------------------------------------------ internals: queue

    private List<GrantEvent> serveQueue() {
        List<GrantEvent> events = new ArrayList<>();
        long now = clock.monotonicMillis();
        long unitsAhead = 0;
        for (WaitingDemand waiting : queue.sorted()) {
            GrantDemand demand = waiting.demand();
            boolean blocked = reservations.hasReservation(demand.attempt().request())
                    || (demand.onTrial() && trials.isAnyActive());
            boolean fits = demand.units() == 0 || (unitsAhead == 0 && demand.units() <= freeUnits());
            if (!blocked && fits) {
                events.add(grant(waiting, now));
                continue;
            }
            long expected = expectedWaitMillis(unitsAhead, demand);
            if (now + expected > waiting.deadlineMillis() || now >= waiting.deadlineMillis()) {
                events.add(refuse(waiting, failures.noCapacity(demand, now - waiting.sinceMillis(), expected)));
                continue;
            }
            unitsAhead += blocked ? 0 : demand.units();
        }
        return events;
    }

    private long expectedWaitMillis(long unitsAhead, GrantDemand demand) {
        return capacityUnits == 0 ? 0 : estimate.waitMillis(unitsAhead + demand.units() - freeUnits(), capacityUnits);
    }

    private GrantEvent grant(WaitingDemand waiting, long now) {
        GrantDemand demand = waiting.demand();
        if (demand.onTrial()) {
            trials.start(demand.attempt());
        }
        queue.remove(demand.attempt());
        Grant grant = new Grant(issued.issue(), demand, now + grantMillis);
        reservations.add(new Holding(grant, Holding.Phase.UNUSED, now));
        return new GrantEvent.Granted(demand.attempt(), grant, grantMillis);
    }

    private GrantEvent refuse(WaitingDemand waiting, Failure failure) {
        queue.remove(waiting.demand().attempt());
        return new GrantEvent.Refused(waiting.demand().attempt(), failure);
    }

    // ------------------------------------------------------------------ internals: cancellation and release

    private List<GrantEvent> supersedeEarlier(AttemptIdentity attempt) {
        List<AttemptIdentity> earlier = attemptsOf(attempt.request()).stream()
                .filter(other -> other.attempt() < attempt.attempt())
                .toList();
        return earlier.isEmpty()
                ? List.of()
                : cancelAll(earlier, Failure.of(ResultCode.SUPERSEDED, "superseded by a later attempt of the request"));
    }

    private boolean isOutdated(AttemptIdentity attempt) {
        return attemptsOf(attempt.request()).stream().anyMatch(other -> other.attempt() > attempt.attempt());
    }

    private List<AttemptIdentity> attemptsOf(RequestIdentifier request) {
        List<AttemptIdentity> attempts = new ArrayList<>(
                queue.attempts(demand -> demand.attempt().request().equals(request)));
        if (reservations.hasReservation(request)) {
            attempts.addAll(reservations.attempts(reservation ->
                    reservation.grant().demand().attempt().request().equals(request)));
        }
        return attempts;
    }

    private List<GrantEvent> cancelAll(List<AttemptIdentity> attempts, Failure reason) {
        List<GrantEvent> events = new ArrayList<>();
        attempts.forEach(attempt -> events.addAll(cancelAttempt(attempt, reason)));
        events.addAll(serveQueue());
        return events;
    }

    private List<GrantEvent> cancelAttempt(AttemptIdentity attempt, Failure reason) {
        Failure notRun = reason.withExecutionState(ExecutionState.NOT_RUN);
        Optional<WaitingDemand> waiting = queue.remove(attempt);
        if (waiting.isPresent()) {
            return List.of(new GrantEvent.Refused(attempt, notRun));
        }
        Optional<Holding> reservation = reservations.of(attempt);
        if (reservation.isEmpty() || reservation.get().phase() == Holding.Phase.STOPPING) {
            return List.of();
        }
        if (reservation.get().phase() == Holding.Phase.UNUSED) {
            invalidate(reservation.get());
            return List.of(new GrantEvent.Refused(attempt, notRun));
        }
        markStopping(attempt);
        return List.of(new GrantEvent.Cancelled(attempt, reason.withExecutionState(ExecutionState.UNKNOWN)));
    }

    private void invalidate(Holding reservation) {
        reservations.remove(reservation.grant().demand().attempt());
        issued.recordInvalidated(reservation.grant().number());
    }

    private void releaseUnits(Holding reservation) {
        if (reservation.phase() == Holding.Phase.UNUSED) {
            invalidate(reservation);
            return;
        }
        reservations.remove(reservation.grant().demand().attempt());
        observeReservationTime(reservation);
    }

    private void retainUnitless(Holding reservation) {
        observeReservationTime(reservation);
        reservations.replace(reservation.withoutUnits());
    }

    /** Ignores reservations without units, which say nothing about how long units stay reserved. */
    private void observeReservationTime(Holding reservation) {
        int units = reservation.grant().demand().units();
        if (units > 0) {
            estimate.observe(units, clock.monotonicMillis() - reservation.sinceMillis(), capacityUnits);
        }
    }
}
