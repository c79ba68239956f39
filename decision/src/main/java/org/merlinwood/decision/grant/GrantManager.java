package org.merlinwood.decision.grant;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.decision.grant.impl.Holding;
import org.merlinwood.decision.grant.impl.Holdings;
import org.merlinwood.decision.grant.impl.WaitEstimate;
import org.merlinwood.decision.grant.impl.WaitingDemand;
import org.merlinwood.decision.grant.impl.WaitingQueue;
import org.merlinwood.decision.placement.LoadObservation;
import org.merlinwood.decision.retry.RetryDelay;

/**
 * All grants of one incarnation of one sidecar: the only place that decides what may run at its upstream.
 *
 * <p>A grant reserves units of capacity, belongs to the connection that asked, lapses on the clock of this process, and
 * is used once. Units stay reserved until {@link #release}, which the sidecar calls once the upstream holds nothing any
 * more. Not thread-safe: used by the control thread only. Methods that change the book return what has to be told, in
 * order, each attempt's last word being one {@link GrantEvent.Refused} or {@link GrantEvent.Cancelled} at most.
 */
public final class GrantManager {

    /** Demands that wait at most. */
    public static final int MAXIMUM_WAITING = 512;

    private static final int REMEMBERED_BURNT_GRANTS = 4_096;
    private static final long DRAINING_RETRY_MILLIS = 200;

    private final MillisClock clock;
    private final RetryDelay retryDelay;
    private final Holdings holdings = new Holdings();
    private final WaitingQueue queue = new WaitingQueue();
    private final WaitEstimate estimate = new WaitEstimate();
    private final Set<Long> burntUnused = new LinkedHashSet<>();
    private final Set<AttemptIdentity> trials = new LinkedHashSet<>();
    private long lastGrant;
    private int capacityUnits;
    private long grantMillis;
    private boolean draining;

    // ------------------------------------------------------------------ configuration

    /**
     * Creates an empty book without capacity.
     *
     * @param clock its monotonic time judges every grant
     * @param retryDelay chooses times to come back
     */
    public GrantManager(MillisClock clock, RetryDelay retryDelay) {
        this.clock = clock;
        this.retryDelay = retryDelay;
    }

    /**
     * Sets the bounds. Grants that were given stay valid.
     *
     * @param units units of capacity in all
     * @param unusedMillis how long an unused grant is honoured, in milliseconds
     * @return what changed
     */
    public List<GrantEvent> configure(int units, long unusedMillis) {
        capacityUnits = units;
        grantMillis = unusedMillis;
        return serveQueue();
    }

    /**
     * Sets how long a unit is taken to be held until the first hold has ended; ignored afterwards.
     *
     * @param millis milliseconds
     */
    public void assumeReservationTime(long millis) {
        estimate.assume(millis);
    }

    // ------------------------------------------------------------------ life-cycle

    /**
     * Starts to refuse demands. Demands that wait are refused now; grants that were given stay valid.
     *
     * @return what changed
     */
    public List<GrantEvent> drain() {
        draining = true;
        List<GrantEvent> events = new ArrayList<>();
        for (WaitingDemand waiting : queue.inOrder()) {
            events.add(deny(waiting, drainingFailure(waiting.demand())));
        }
        return events;
    }

    /** Takes demands again. */
    public void resume() {
        draining = false;
    }

    /**
     * Tells whether nothing is given, running or waiting.
     *
     * @return true if so
     */
    public boolean isIdle() {
        return holdings.all().isEmpty() && queue.size() == 0;
    }

    // ------------------------------------------------------------------ public API: granting

    /**
     * Asks for a grant.
     *
     * @param demand what is asked for
     * @return what changed: for the attempt itself exactly one event, and perhaps some for others
     */
    public List<GrantEvent> request(GrantDemand demand) {
        List<GrantEvent> events = new ArrayList<>(supersedeEarlier(demand.attempt()));
        Optional<Failure> refusal = refusalOf(demand);
        if (refusal.isPresent()) {
            events.add(new GrantEvent.Refused(demand.attempt(), refusal.get()));
            return events;
        }
        events.addAll(displaceForRoom(demand));
        queue.add(demand, clock.monotonicMillis());
        events.addAll(serveQueue());
        if (queue.contains(demand.attempt())) {
            events.add(new GrantEvent.Waiting(demand.attempt(), expectedWaitMillis(demand)));
        }
        return events;
    }

    /**
     * Uses a grant. Whatever the answer, the grant can't be used again.
     *
     * @param session the connection that carried the execute
     * @param number number of the grant
     * @param attempt the attempt that is to be executed
     * @return the grant, or why nothing may be executed
     */
    public Either<Failure, Grant> use(SessionNumber session, long number, AttemptIdentity attempt) {
        Optional<Holding> found = holdings.ofGrant(number);
        if (found.isEmpty()) {
            return Either.left(unheld(number));
        }
        Holding holding = found.get();
        if (holding.phase() != Holding.Phase.UNUSED) {
            return Either.left(Failure.of(ResultCode.GRANT_UNKNOWN, "the grant was used already")
                    .withExecutionState(ExecutionState.UNKNOWN));
        }
        GrantDemand demand = holding.grant().demand();
        if (!demand.session().equals(session) || !demand.attempt().equals(attempt)) {
            burn(holding);
            return Either.left(retryable(ResultCode.GRANT_UNKNOWN, "the grant belongs to another attempt", demand));
        }
        if (clock.monotonicMillis() >= holding.grant().expiresAtMillis()) {
            burn(holding);
            return Either.left(retryable(ResultCode.GRANT_EXPIRED, "the grant lapsed before it was used", demand));
        }
        holdings.replace(holding.withPhase(Holding.Phase.RUNNING));
        return Either.right(holding.grant());
    }

    /**
     * Frees the units of an attempt: its grant was given back unused, or its upstream holds nothing for it any more.
     *
     * @param attempt the attempt
     * @return what changed for others
     */
    public List<GrantEvent> release(AttemptIdentity attempt) {
        queue.remove(attempt);
        holdings.of(attempt).ifPresent(this::free);
        return serveQueue();
    }

    /**
     * Frees the units of an attempt that has computed its result, while its upstream keeps the result. The attempt can
     * be cancelled, and blocks later attempts of its request, until {@link #release}.
     *
     * @param attempt the attempt
     * @return what changed for others
     */
    public List<GrantEvent> retainResult(AttemptIdentity attempt) {
        holdings.of(attempt)
                .filter(holding -> holding.phase() == Holding.Phase.RUNNING)
                .ifPresent(this::keep);
        return serveQueue();
    }

    /**
     * Keeps the units of an attempt that failed until {@link #release}, and blocks later attempts of its request so
     * long.
     *
     * @param attempt the attempt
     */
    public void markStopping(AttemptIdentity attempt) {
        trials.remove(attempt);
        holdings.of(attempt).ifPresent(holding -> holdings.replace(holding.withPhase(Holding.Phase.STOPPING)));
    }

    /**
     * Ends the trial of an attempt that has run without ending its engine; its units stay reserved.
     *
     * @param attempt the attempt
     * @return what changed for others
     */
    public List<GrantEvent> passTrial(AttemptIdentity attempt) {
        return trials.remove(attempt) ? serveQueue() : List.of();
    }

    // ------------------------------------------------------------------ public API: giving up

    /**
     * Cancels one attempt, whatever has become of it.
     *
     * @param attempt the attempt
     * @param why told to its entry
     * @return what changed
     */
    public List<GrantEvent> cancel(AttemptIdentity attempt, Failure why) {
        List<GrantEvent> events = new ArrayList<>(giveUp(attempt, why));
        events.addAll(serveQueue());
        return events;
    }

    /**
     * Cancels all attempts of a request.
     *
     * @param request the request
     * @param why told to its entry
     * @return what changed
     */
    public List<GrantEvent> cancelAll(RequestIdentifier request, Failure why) {
        return cancelAll(attemptsOf(request), why);
    }

    /**
     * Cancels everything that belongs to a connection.
     *
     * @param session the connection, which is closed
     * @return what changed
     */
    public List<GrantEvent> cancelSession(SessionNumber session) {
        List<AttemptIdentity> attempts =
                new ArrayList<>(queue.attempts(demand -> demand.session().equals(session)));
        attempts.addAll(
                holdings.attempts(holding -> holding.grant().demand().session().equals(session)));
        return cancelAll(attempts, Failure.of(ResultCode.CONNECTION_LOST, "the connection of the entry ended"));
    }

    /**
     * Cancels everything that waits, is granted or runs.
     *
     * @param why told to the entries
     * @return what changed
     */
    public List<GrantEvent> cancelEverything(Failure why) {
        List<AttemptIdentity> attempts = new ArrayList<>(queue.attempts(demand -> true));
        attempts.addAll(holdings.attempts(holding -> true));
        return cancelAll(attempts, why);
    }

    /**
     * Lets grants lapse and gives up demands whose wait can't be met. To be called every few milliseconds.
     *
     * @return what changed
     */
    public List<GrantEvent> advance() {
        long now = clock.monotonicMillis();
        List<GrantEvent> events = new ArrayList<>();
        for (Holding holding : holdings.all()) {
            if (holding.phase() == Holding.Phase.UNUSED
                    && now >= holding.grant().expiresAtMillis()) {
                burn(holding);
                GrantDemand demand = holding.grant().demand();
                events.add(new GrantEvent.Refused(
                        demand.attempt(),
                        retryable(ResultCode.GRANT_EXPIRED, "the grant lapsed before it was used", demand)));
            }
        }
        events.addAll(serveQueue());
        return events;
    }

    // ------------------------------------------------------------------ public API: state

    /**
     * Returns the load, as every answer to an entry carries it.
     *
     * @return the load now
     */
    public LoadObservation load() {
        return new LoadObservation(
                (int) Math.max(0, freeUnits()),
                capacityUnits,
                holdings.count(Holding.Phase.RUNNING) + holdings.count(Holding.Phase.STOPPING),
                queue.size(),
                capacityUnits == 0 ? 0 : estimate.waitMillis(queue.units() + 1 - freeUnits(), capacityUnits),
                queue.tokens() + holdings.tokens(),
                draining);
    }

    /**
     * Tells whether an attempt waits or holds units.
     *
     * @param attempt the attempt
     * @return true if so
     */
    public boolean contains(AttemptIdentity attempt) {
        return queue.contains(attempt) || holdings.of(attempt).isPresent();
    }

    /**
     * Tells whether an attempt holds units and has not passed its trial.
     *
     * @param attempt the attempt
     * @return true if so
     */
    public boolean isOnTrial(AttemptIdentity attempt) {
        return trials.contains(attempt) && holdings.of(attempt).isPresent();
    }

    /**
     * Tells whether any attempt of a request holds units.
     *
     * @param request the request
     * @return true if so
     */
    public boolean hasReservation(RequestIdentifier request) {
        return holdings.hasReservation(request);
    }

    /**
     * Returns all holdings and waiting demands, for the state dump.
     *
     * @return the state now
     */
    public GrantManagerState state() {
        return new GrantManagerState(load(), lastGrant, holdings.all(), queue.inOrder());
    }

    // ------------------------------------------------------------------ internals: judging

    private Optional<Failure> refusalOf(GrantDemand demand) {
        if (draining) {
            return Optional.of(drainingFailure(demand));
        }
        if (capacityUnits == 0) {
            return Optional.of(retryable(ResultCode.NOT_READY, "the capacity is not known yet", demand));
        }
        if (demand.units() > capacityUnits) {
            return Optional.of(Failure.of(
                    ResultCode.PROMPT_TOO_LONG,
                    "the work takes " + demand.units() + " units of " + capacityUnits + " in all"));
        }
        if (holdings.of(demand.attempt()).isPresent() || queue.contains(demand.attempt())) {
            return Optional.of(Failure.of(ResultCode.PROTOCOL_VIOLATION, "the attempt was asked for twice"));
        }
        if (isOutdated(demand.attempt())) {
            return Optional.of(Failure.of(ResultCode.SUPERSEDED, "a later attempt was asked for already"));
        }
        return refusalForWait(demand);
    }

    private Optional<Failure> refusalForWait(GrantDemand demand) {
        long expected = expectedWaitMillis(demand);
        if (expected > demand.waitMillis()) {
            return Optional.of(noCapacity(demand, expected));
        }
        boolean outranked = queue.last()
                .map(last -> last.demand().priority() <= demand.priority())
                .orElse(false);
        if (queue.size() >= MAXIMUM_WAITING && outranked) {
            return Optional.of(noCapacity(demand, expected));
        }
        return Optional.empty();
    }

    private List<GrantEvent> displaceForRoom(GrantDemand demand) {
        if (queue.size() < MAXIMUM_WAITING || demand.units() == 0) {
            return List.of();
        }
        return queue.last()
                .map(last -> List.of(deny(last, noCapacity(last.demand(), expectedWaitMillis(last.demand())))))
                .orElse(List.of());
    }

    private long expectedWaitMillis(GrantDemand demand) {
        if (demand.units() == 0) {
            return 0;
        }
        long ahead = queue.inOrder().stream()
                .map(WaitingDemand::demand)
                .takeWhile(other -> !other.attempt().equals(demand.attempt()))
                .filter(other -> other.priority() <= demand.priority())
                .mapToLong(GrantDemand::units)
                .sum();
        return estimate.waitMillis(ahead + demand.units() - freeUnits(), capacityUnits);
    }

    private long freeUnits() {
        return capacityUnits - holdings.units();
    }

    // ------------------------------------------------------------------ internals: queue

    private List<GrantEvent> serveQueue() {
        List<GrantEvent> events = new ArrayList<>();
        long now = clock.monotonicMillis();
        long unitsAhead = 0;
        for (WaitingDemand waiting : queue.inOrder()) {
            GrantDemand demand = waiting.demand();
            boolean blocked =
                    holdings.hasReservation(demand.attempt().request()) || (demand.onTrial() && isTrialUnderWay());
            boolean fits = demand.units() == 0 || (unitsAhead == 0 && demand.units() <= freeUnits());
            if (!blocked && fits) {
                events.add(give(waiting, now));
                continue;
            }
            long expected = expectedWaitMillis(unitsAhead, demand);
            if (now + expected > waiting.deadlineMillis() || now >= waiting.deadlineMillis()) {
                events.add(deny(waiting, noCapacity(demand, expected)));
                continue;
            }
            unitsAhead += blocked ? 0 : demand.units();
        }
        return events;
    }

    private long expectedWaitMillis(long unitsAhead, GrantDemand demand) {
        return capacityUnits == 0 ? 0 : estimate.waitMillis(unitsAhead + demand.units() - freeUnits(), capacityUnits);
    }

    private boolean isTrialUnderWay() {
        trials.removeIf(attempt -> holdings.of(attempt).isEmpty());
        return !trials.isEmpty();
    }

    private GrantEvent give(WaitingDemand waiting, long now) {
        GrantDemand demand = waiting.demand();
        if (demand.onTrial()) {
            trials.add(demand.attempt());
        }
        queue.remove(demand.attempt());
        Grant grant = new Grant(++lastGrant, demand, now + grantMillis);
        holdings.add(new Holding(grant, Holding.Phase.UNUSED, now));
        return new GrantEvent.Granted(demand.attempt(), grant, grantMillis);
    }

    private GrantEvent deny(WaitingDemand waiting, Failure failure) {
        queue.remove(waiting.demand().attempt());
        return new GrantEvent.Refused(waiting.demand().attempt(), failure);
    }

    // ------------------------------------------------------------------ internals: giving up

    private List<GrantEvent> supersedeEarlier(AttemptIdentity attempt) {
        List<AttemptIdentity> earlier = attemptsOf(attempt.request()).stream()
                .filter(other -> other.attempt() < attempt.attempt())
                .toList();
        return earlier.isEmpty()
                ? List.of()
                : cancelAll(earlier, Failure.of(ResultCode.SUPERSEDED, "a later attempt took over"));
    }

    private boolean isOutdated(AttemptIdentity attempt) {
        return attemptsOf(attempt.request()).stream().anyMatch(other -> other.attempt() > attempt.attempt());
    }

    private List<AttemptIdentity> attemptsOf(RequestIdentifier request) {
        List<AttemptIdentity> attempts = new ArrayList<>(
                queue.attempts(demand -> demand.attempt().request().equals(request)));
        if (holdings.hasReservation(request)) {
            attempts.addAll(holdings.attempts(
                    holding -> holding.grant().demand().attempt().request().equals(request)));
        }
        return attempts;
    }

    private List<GrantEvent> cancelAll(List<AttemptIdentity> attempts, Failure why) {
        List<GrantEvent> events = new ArrayList<>();
        attempts.forEach(attempt -> events.addAll(giveUp(attempt, why)));
        events.addAll(serveQueue());
        return events;
    }

    private List<GrantEvent> giveUp(AttemptIdentity attempt, Failure why) {
        Failure notRun = why.withExecutionState(ExecutionState.NOT_RUN);
        Optional<WaitingDemand> waiting = queue.remove(attempt);
        if (waiting.isPresent()) {
            return List.of(new GrantEvent.Refused(attempt, notRun));
        }
        Optional<Holding> held = holdings.of(attempt);
        if (held.isEmpty() || held.get().phase() == Holding.Phase.STOPPING) {
            return List.of();
        }
        if (held.get().phase() == Holding.Phase.UNUSED) {
            burn(held.get());
            return List.of(new GrantEvent.Refused(attempt, notRun));
        }
        markStopping(attempt);
        return List.of(new GrantEvent.Cancelled(attempt, why.withExecutionState(ExecutionState.UNKNOWN)));
    }

    private void burn(Holding holding) {
        holdings.remove(holding.grant().demand().attempt());
        burntUnused.add(holding.grant().number());
        if (burntUnused.size() > REMEMBERED_BURNT_GRANTS) {
            burntUnused.remove(burntUnused.iterator().next());
        }
    }

    private void free(Holding holding) {
        if (holding.phase() == Holding.Phase.UNUSED) {
            burn(holding);
            return;
        }
        holdings.remove(holding.grant().demand().attempt());
        observe(holding);
    }

    private void keep(Holding holding) {
        observe(holding);
        holdings.replace(holding.withoutUnits());
    }

    /** What holds no unit tells nothing about how long units are held. */
    private void observe(Holding holding) {
        int units = holding.grant().demand().units();
        if (units > 0) {
            estimate.observe(units, clock.monotonicMillis() - holding.sinceMillis(), capacityUnits);
        }
    }

    // ------------------------------------------------------------------ internals: failures

    /** A number that was given out and is not known to have been burnt unused may have run. */
    private Failure unheld(long number) {
        if (burntUnused.contains(number)) {
            return Failure.of(ResultCode.GRANT_EXPIRED, "the grant was burnt before it was used");
        }
        Failure unknown = Failure.of(ResultCode.GRANT_UNKNOWN, "no grant has this number");
        boolean neverGiven = number <= 0 || number > lastGrant;
        return neverGiven ? unknown : unknown.withExecutionState(ExecutionState.UNKNOWN);
    }

    private Failure noCapacity(GrantDemand demand, long expectedMillis) {
        return Failure.retryable(
                ResultCode.NO_CAPACITY,
                "the wait would be " + expectedMillis + " ms, over " + demand.waitMillis() + " ms",
                retryDelay.retryAfterMillis(expectedMillis, demand.priority()));
    }

    private Failure drainingFailure(GrantDemand demand) {
        return retryable(ResultCode.DRAINING, "the instance is leaving and takes no new work", demand);
    }

    private Failure retryable(ResultCode code, String detail, GrantDemand demand) {
        return Failure.retryable(code, detail, retryDelay.retryAfterMillis(DRAINING_RETRY_MILLIS, demand.priority()));
    }
}
