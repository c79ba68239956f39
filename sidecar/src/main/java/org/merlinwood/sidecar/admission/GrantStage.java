package org.merlinwood.sidecar.admission;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.grant.AttemptIdentity;
import org.merlinwood.decision.grant.Grant;
import org.merlinwood.decision.grant.GrantDemand;
import org.merlinwood.decision.grant.GrantEvent;
import org.merlinwood.decision.grant.GrantManager;
import org.merlinwood.decision.grant.GrantManagerState;
import org.merlinwood.decision.grant.SessionNumber;
import org.merlinwood.decision.idempotency.Fingerprint;
import org.merlinwood.decision.suspicion.SuspicionDecision;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.WireValues;
import org.merlinwood.sidecar.execution.ResponseChannel;
import org.merlinwood.sidecar.suspicion.SuspicionStage;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.GrantRequest;
import org.merlinwood.wire.GrantUse;
import org.merlinwood.wire.Granted;
import org.merlinwood.wire.Load;
import org.merlinwood.wire.Queued;
import org.merlinwood.wire.RequestIdentity;
import org.merlinwood.wire.WorkKind;

/**
 * Connects exchanges with the grant book. Used by the control thread only, except for {@link #load()} and
 * {@link #revisions()}, which any thread may call.
 */
public final class GrantStage {

    private static final long RETRY_MILLIS = 100;
    private static final SessionNumber NO_SESSION = new SessionNumber(0);

    private final GrantManager book;
    private final DemandFilter filter;
    private final SuspicionStage suspicion;
    private final Incarnation incarnation;
    private final MetricRegistry metrics;
    private final Consumer<AttemptIdentity> onAbandoned;
    private final Sessions sessions = new Sessions();
    private final Map<AttemptIdentity, OpenAttempt> unjudged = new HashMap<>();
    private final Map<AttemptIdentity, OpenAttempt> open = new HashMap<>();
    private Optional<ServingConfiguration> view = Optional.empty();
    private boolean leaving;
    private volatile Load load = Load.getDefaultInstance();
    private volatile Revisions revisions = new Revisions(Revisions.NONE, Revisions.NONE);

    // ------------------------------------------------------------------ configuration

    /**
     * Creates a stage that grants nothing before it is configured.
     *
     * @param book the grants
     * @param filter judges demands by themselves
     * @param suspicion judges requests that may have ended engines
     * @param incarnation of this process
     * @param metrics counts decisions
     * @param onAbandoned hears of attempts that run and have to be cancelled
     */
    public GrantStage(
            GrantManager book,
            DemandFilter filter,
            SuspicionStage suspicion,
            Incarnation incarnation,
            MetricRegistry metrics,
            Consumer<AttemptIdentity> onAbandoned) {
        this.book = book;
        this.filter = filter;
        this.suspicion = suspicion;
        this.incarnation = incarnation;
        this.metrics = metrics;
        this.onAbandoned = onAbandoned;
    }

    /**
     * Puts inventory and rules in force.
     *
     * @param next what they say about this instance
     */
    public void configure(ServingConfiguration next) {
        view = Optional.of(next);
        filter.configure(next);
        revisions = next.revisions();
        next.firstHoldMillis().ifPresent(book::assumeReservationTime);
        tell(book.configure(next.units(), next.limits().grantMillis()));
        if (next.takesWork() && !leaving) {
            book.resume();
        } else {
            tell(book.drain());
        }
        refreshLoad();
    }

    /** Starts to refuse demands, for good. */
    public void startDraining() {
        leaving = true;
        tell(book.drain());
    }

    // ------------------------------------------------------------------ public API: demands

    /**
     * Takes a demand.
     *
     * @param exchange the exchange, opened by the demand
     * @param request the demand
     */
    public void demand(Exchange exchange, GrantRequest request) {
        SessionNumber session = sessions.of(exchange.connection());
        ResponseChannel channel = channel(exchange, request.getRequest());
        Optional<Failure> refusal = filter.refusal(exchange.connection(), request);
        AttemptIdentity attempt = GrantMessages.attempt(request.getRequest());
        if (refusal.isPresent()) {
            count(refusal.get());
            channel.refuse(refusal.get());
            return;
        }
        if (unjudged.containsKey(attempt) || book.contains(attempt)) {
            channel.refuse(Failure.of(ResultCode.PROTOCOL_VIOLATION, "the attempt was asked for twice"));
            return;
        }
        OpenAttempt opened = new OpenAttempt(attempt, session, request, channel, false);
        Fingerprint fingerprint = GrantMessages.fingerprint(request);
        if (request.getKind() == WorkKind.PLAIN || fingerprint.isEmpty()) {
            ask(opened, filter.needsCapacity(request) ? GrantMessages.units(request) : 0);
            return;
        }
        unjudged.put(attempt, opened);
        suspicion.query(fingerprint, attempt.request(), verdict -> onDecision(opened, verdict));
    }

    /**
     * Takes an unused grant back, or a demand out of the queue.
     *
     * @param exchange the exchange of the demand
     * @param identity request and attempt of the demand
     */
    public void release(Exchange exchange, RequestIdentity identity) {
        AttemptIdentity attempt = GrantMessages.attempt(identity);
        OpenAttempt released = open.getOrDefault(attempt, unjudged.get(attempt));
        if (released == null || !released.session().equals(sessions.of(exchange.connection()))) {
            return;
        }
        released.channel().drop();
        cancel(identity, Failure.of(ResultCode.CANCELLED, "the entry gave the grant back"));
    }

    /**
     * Cancels what a frame names.
     *
     * @param identity the request and its attempt; attempt 0 names all attempts
     * @param why told to the entry
     */
    public void cancel(RequestIdentity identity, Failure why) {
        AttemptIdentity attempt = GrantMessages.attempt(identity);
        boolean all = attempt.attempt() == 0;
        refuseUnjudged(
                other -> all
                        ? other.attempt().request().equals(attempt.request())
                        : other.attempt().equals(attempt),
                why);
        tell(all ? book.cancelAll(attempt.request(), why) : book.cancel(attempt, why));
    }

    /**
     * Cancels everything of a connection.
     *
     * @param connection the connection, which is closed
     */
    public void onConnectionClosed(PeerConnection connection) {
        sessions.closed(connection).ifPresent(session -> {
            refuseUnjudged(
                    attempt -> attempt.session().equals(session),
                    Failure.of(ResultCode.CONNECTION_LOST, "the connection of the entry ended"));
            tell(book.cancelSession(session));
        });
    }

    /** Cancels everything that is granted or runs. */
    public void cancelEverything() {
        tell(book.cancelEverything(Failure.of(ResultCode.DRAINING, "the drain limit has passed")));
    }

    /** Lets grants lapse and gives up demands whose wait can't be met. */
    public void advance() {
        tell(book.advance());
    }

    // ------------------------------------------------------------------ public API: executions

    /**
     * Uses a grant on the exchange that it was granted on.
     *
     * @param exchange the exchange
     * @param use the grant
     * @return the attempt, or why nothing may be executed; the exchange is then ended
     */
    public Either<Failure, OpenAttempt> use(Exchange exchange, GrantUse use) {
        AttemptIdentity attempt = GrantMessages.attempt(use.getRequest());
        boolean sameIncarnation = use.getIncarnation() == incarnation.value();
        SessionNumber session = sameIncarnation ? sessions.of(exchange.connection()) : NO_SESSION;
        Either<Failure, Grant> used = book.use(session, use.getGrant(), attempt);
        used.peekLeft(failure -> endUnknown(sameIncarnation ? failure : otherIncarnation(failure)));
        refreshLoad();
        return used.map(grant -> open.get(attempt));
    }

    /**
     * Judges an execute that came on another exchange than its grant. It is never run, and its grant is burnt.
     *
     * @param exchange the exchange
     * @param use the grant
     */
    public void useElsewhere(Exchange exchange, GrantUse use) {
        Either<Failure, Grant> used = book.use(NO_SESSION, use.getGrant(), GrantMessages.attempt(use.getRequest()));
        used.peekLeft(failure -> {
            endUnknown(failure);
            channel(exchange, use.getRequest()).refuse(failure);
        });
        refreshLoad();
    }

    /**
     * Keeps the units of an attempt whose upstream may still hold memory.
     *
     * @param attempt the attempt
     */
    public void markStopping(AttemptIdentity attempt) {
        open.remove(attempt);
        book.markStopping(attempt);
    }

    /**
     * Frees the units of a prefill whose prompt is computed; its result is still kept.
     *
     * @param attempt the attempt
     */
    public void retainResult(AttemptIdentity attempt) {
        tell(book.retainResult(attempt));
    }

    /**
     * Lets other suspects run beside an attempt that has not ended its engine so far.
     *
     * @param attempt the attempt
     */
    public void passTrial(AttemptIdentity attempt) {
        tell(book.passTrial(attempt));
    }

    /**
     * Tells whether an attempt is a suspect that has not passed its trial.
     *
     * @param attempt the attempt
     * @return true if so
     */
    public boolean isOnTrial(AttemptIdentity attempt) {
        return book.isOnTrial(attempt);
    }

    /**
     * Frees the units of an attempt.
     *
     * @param attempt the attempt
     */
    public void finish(AttemptIdentity attempt) {
        open.remove(attempt);
        tell(book.release(attempt));
    }

    // ------------------------------------------------------------------ public API: state

    /**
     * Returns the load as it was after the last decision. Thread-safe.
     *
     * @return the load
     */
    public Load load() {
        return load;
    }

    /**
     * Returns the revisions in force. Thread-safe.
     *
     * @return the revisions
     */
    public Revisions revisions() {
        return revisions;
    }

    /**
     * Returns what inventory and rules say about this instance.
     *
     * @return the view, empty before the first configuration
     */
    public Optional<ServingConfiguration> view() {
        return view;
    }

    /**
     * Tells whether nothing is granted, running or waiting.
     *
     * @return true if so
     */
    public boolean isIdle() {
        return book.isIdle();
    }

    /**
     * Returns the book, for the state dump.
     *
     * @return a copy
     */
    public GrantManagerState state() {
        return book.state();
    }

    // ------------------------------------------------------------------ internals: suspicion

    private void onDecision(OpenAttempt attempt, SuspicionDecision verdict) {
        if (!unjudged.remove(attempt.attempt(), attempt)) {
            return;
        }
        switch (verdict) {
            case SuspicionDecision.Free free -> ask(attempt, GrantMessages.units(attempt.request()));
            case SuspicionDecision.Isolate isolate -> isolate(attempt);
            case SuspicionDecision.Wait wait ->
                refuse(
                        attempt,
                        Failure.retryable(
                                ResultCode.NO_CAPACITY,
                                "a copy of the request is being run alone",
                                wait.retryAfterMillis()));
            case SuspicionDecision.Quarantined quarantined ->
                refuse(
                        attempt,
                        Failure.retryable(
                                ResultCode.REQUEST_QUARANTINED,
                                quarantined.crashes() + " engines ended while the request ran",
                                quarantined.expiresInMillis()));
        }
    }

    /** No other suspect runs beside it before it has passed its trial. */
    private void isolate(OpenAttempt attempt) {
        metrics.counter("suspicion.isolated").inc();
        ask(
                new OpenAttempt(attempt.attempt(), attempt.session(), attempt.request(), attempt.channel(), true),
                GrantMessages.units(attempt.request()));
    }

    private void ask(OpenAttempt attempt, int units) {
        open.put(attempt.attempt(), attempt);
        GrantDemand demand = GrantMessages.demand(attempt.request(), attempt.session(), units);
        tell(book.request(attempt.isolated() ? demand.asTrial() : demand));
    }

    private void refuse(OpenAttempt attempt, Failure failure) {
        count(failure);
        attempt.channel().refuse(filter.withKnownExecutionState(attempt.request(), failure));
    }

    /** Attempts whose suspicion is being asked about are not in the book yet. */
    private void refuseUnjudged(Predicate<OpenAttempt> attempts, Failure failure) {
        List<OpenAttempt> refused = unjudged.values().stream().filter(attempts).toList();
        refused.forEach(attempt -> {
            unjudged.remove(attempt.attempt());
            refuse(attempt, failure.withExecutionState(ExecutionState.NOT_RUN));
        });
    }

    // ------------------------------------------------------------------ internals: judging

    private static Failure otherIncarnation(Failure failure) {
        return failure.executionState() == ExecutionState.NOT_RUN
                ? Failure.retryable(
                        ResultCode.INCARNATION_MISMATCH, "the grant was given by another incarnation", RETRY_MILLIS)
                : failure;
    }

    // ------------------------------------------------------------------ internals: telling

    private void tell(List<GrantEvent> events) {
        refreshLoad();
        events.forEach(this::tell);
    }

    private void tell(GrantEvent event) {
        switch (event) {
            case GrantEvent.Granted given ->
                find(given).ifPresent(attempt -> attempt.channel().send(granted(given)));
            case GrantEvent.Waiting waiting ->
                find(waiting).ifPresent(attempt -> attempt.channel().send(queued(waiting)));
            case GrantEvent.Refused denied -> {
                take(denied).ifPresent(attempt -> refuse(attempt, denied.failure()));
            }
            case GrantEvent.Cancelled abandoned -> {
                take(abandoned).ifPresent(attempt -> attempt.channel().fail(abandoned.failure()));
                onAbandoned.accept(abandoned.attempt());
            }
        }
    }

    private Optional<OpenAttempt> find(GrantEvent event) {
        return Optional.ofNullable(open.get(event.attempt()));
    }

    private Optional<OpenAttempt> take(GrantEvent event) {
        return Optional.ofNullable(open.remove(event.attempt()));
    }

    /** Ends the exchanges of attempts that the book has just burnt. */
    private void endUnknown(Failure failure) {
        List<OpenAttempt> burnt = new ArrayList<>(open.values());
        burnt.removeIf(attempt -> book.contains(attempt.attempt()));
        burnt.forEach(attempt -> {
            open.remove(attempt.attempt());
            refuse(attempt, failure);
        });
    }

    private Frame.Builder granted(GrantEvent.Granted given) {
        metrics.counter("grants.given").inc();
        return Frame.newBuilder()
                .setGranted(Granted.newBuilder()
                        .setGrant(given.grant().number())
                        .setIncarnation(incarnation.value())
                        .setExpiresInMillis((int) given.expiresInMillis())
                        .setLoad(load)
                        .setRevisions(WireValues.toWire(revisions)));
    }

    private Frame.Builder queued(GrantEvent.Waiting waiting) {
        metrics.counter("grants.queued").inc();
        return Frame.newBuilder()
                .setQueued(Queued.newBuilder()
                        .setExpectedWaitMillis((int) waiting.expectedWaitMillis())
                        .setLoad(load));
    }

    private ResponseChannel channel(Exchange exchange, RequestIdentity identity) {
        return new ResponseChannel(exchange, identity, incarnation, this::load, this::revisions);
    }

    private void refreshLoad() {
        load = GrantMessages.toWire(book.load());
    }

    private void count(Failure failure) {
        metrics.counter("grants.refused." + failure.code().name()).inc();
    }
}
