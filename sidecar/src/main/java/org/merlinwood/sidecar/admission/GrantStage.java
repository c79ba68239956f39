package org.merlinwood.sidecar.admission;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
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
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.sidecar.execution.ResponseChannel;
import org.merlinwood.sidecar.suspicion.SuspicionStage;
import org.merlinwood.wire.GrantRequest;
import org.merlinwood.wire.GrantUse;
import org.merlinwood.wire.Load;
import org.merlinwood.wire.RequestIdentity;
import org.merlinwood.wire.WorkKind;

/**
 * Connects the exchanges of entries with the {@link GrantManager}: passes on their grant requests, and sends the
 * resulting grants, queue positions and failures to them. Used by the control thread only, except for {@link #load()}
 * and {@link #revisions()}, which any thread may call.
 */
public final class GrantStage {

    private static final long RETRY_MILLIS = 100;
    private static final SessionNumber NO_SESSION = new SessionNumber(0);

    private final GrantManager grantManager;
    private final DemandFilter filter;
    private final Incarnation incarnation;
    private final MetricRegistry metrics;
    private final SuspicionQueries suspicionQueries;
    private final OpenAttempts openAttempts;
    private final Sessions sessions = new Sessions();
    private Optional<ServingConfiguration> configuration = Optional.empty();
    private boolean draining;
    private volatile Load load = Load.getDefaultInstance();
    private volatile Revisions revisions = new Revisions(Revisions.NONE, Revisions.NONE);

    /**
     * Creates a stage that grants nothing before it is configured.
     *
     * @param grantManager decides which attempts get a grant
     * @param filter checks each grant request on its own
     * @param suspicion finds out whether a request is suspected of crashing engines
     * @param incarnation incarnation of this process
     * @param metrics registry for the decision counters
     * @param onCancelled called with each running attempt that has to be cancelled
     */
    public GrantStage(
            GrantManager grantManager,
            DemandFilter filter,
            SuspicionStage suspicion,
            Incarnation incarnation,
            MetricRegistry metrics,
            Consumer<AttemptIdentity> onCancelled) {
        this.grantManager = grantManager;
        this.filter = filter;
        this.incarnation = incarnation;
        this.metrics = metrics;
        this.openAttempts = new OpenAttempts(filter, incarnation, metrics, onCancelled, this::load, this::revisions);
        this.suspicionQueries = new SuspicionQueries(suspicion, this::submitFree, this::isolate, openAttempts::refuse);
    }

    /**
     * Applies new inventory and rules.
     *
     * @param next the part that concerns this instance
     */
    public void configure(ServingConfiguration next) {
        configuration = Optional.of(next);
        filter.configure(next);
        revisions = next.revisions();
        next.initialReservationMillis().ifPresent(grantManager::assumeReservationTime);
        dispatch(grantManager.configure(next.units(), next.limits().grantMillis()));
        if (next.acceptsWork() && !draining) {
            grantManager.resume();
        } else {
            dispatch(grantManager.drain());
        }
        refreshLoad();
    }

    /** Refuses all grant requests from now on. Can't be undone. */
    public void startDraining() {
        draining = true;
        dispatch(grantManager.drain());
    }

    /**
     * Handles a grant request: refuses it, queues it or issues a grant.
     *
     * @param exchange the exchange that the grant request opened
     * @param request the grant request
     */
    public void requestGrant(Exchange exchange, GrantRequest request) {
        SessionNumber session = sessions.of(exchange.connection());
        ResponseChannel channel = channel(exchange, request.getRequest());
        Optional<Failure> refusal = filter.refusal(exchange.connection(), request);
        AttemptIdentity attempt = GrantMessages.attempt(request.getRequest());
        if (refusal.isPresent()) {
            openAttempts.count(refusal.get());
            channel.refuse(refusal.get());
            return;
        }
        if (suspicionQueries.find(attempt).isPresent() || grantManager.contains(attempt)) {
            channel.refuse(Failure.of(ResultCode.PROTOCOL_VIOLATION, "a grant for this attempt was requested twice"));
            return;
        }
        OpenAttempt opened = new OpenAttempt(attempt, session, request, channel, false, false);
        Fingerprint fingerprint = GrantMessages.fingerprint(request);
        if (request.getKind() == WorkKind.PLAIN || fingerprint.isEmpty()) {
            submit(opened, filter.needsCapacity(request) ? GrantMessages.units(request) : 0);
            return;
        }
        suspicionQueries.start(opened, fingerprint);
    }

    /**
     * Releases an unused grant, or removes a grant request from the queue. Ignored if the attempt belongs to another
     * connection.
     *
     * @param exchange the exchange of the grant request
     * @param identity request and attempt
     */
    public void release(Exchange exchange, RequestIdentity identity) {
        AttemptIdentity attempt = GrantMessages.attempt(identity);
        Optional<OpenAttempt> released = openAttempts.find(attempt).or(() -> suspicionQueries.find(attempt));
        if (released.isEmpty() || !released.get().session().equals(sessions.of(exchange.connection()))) {
            return;
        }
        released.get().channel().drop();
        cancel(identity, Failure.of(ResultCode.CANCELLED, "the entry released the grant"));
    }

    /**
     * Cancels one attempt of a request, or all of them.
     *
     * @param identity the request and its attempt; attempt 0 means all attempts
     * @param why the failure that is sent to the entry
     */
    public void cancel(RequestIdentity identity, Failure why) {
        AttemptIdentity attempt = GrantMessages.attempt(identity);
        boolean all = attempt.attempt() == 0;
        suspicionQueries.refuse(
                other -> all
                        ? other.attempt().request().equals(attempt.request())
                        : other.attempt().equals(attempt),
                why);
        dispatch(all ? grantManager.cancelAll(attempt.request(), why) : grantManager.cancel(attempt, why));
    }

    /**
     * Cancels all attempts that were requested on a connection.
     *
     * @param connection the connection, already closed
     */
    public void onConnectionClosed(PeerConnection connection) {
        sessions.remove(connection).ifPresent(session -> {
            suspicionQueries.refuse(
                    attempt -> attempt.session().equals(session),
                    Failure.of(ResultCode.CONNECTION_LOST, "the connection to the entry was closed"));
            dispatch(grantManager.cancelSession(session));
        });
    }

    /** Cancels every attempt that waits, is granted or runs. */
    public void cancelEverything() {
        dispatch(grantManager.cancelEverything(Failure.of(ResultCode.DRAINING, "the drain limit was exceeded")));
    }

    /** Expires unused grants, and refuses waiting grant requests that can't be granted in time. Called periodically. */
    public void advance() {
        dispatch(grantManager.advance());
    }

    /**
     * Uses a grant on the exchange that received it.
     *
     * @param exchange the exchange
     * @param use the grant
     * @return the attempt, or the reason why it must not be executed; the exchange has then been ended
     */
    public Either<Failure, OpenAttempt> use(Exchange exchange, GrantUse use) {
        AttemptIdentity attempt = GrantMessages.attempt(use.getRequest());
        boolean sameIncarnation = use.getIncarnation() == incarnation.value();
        SessionNumber session = sameIncarnation ? sessions.of(exchange.connection()) : NO_SESSION;
        Either<Failure, Grant> used = grantManager.use(session, use.getGrant(), attempt);
        used.peekLeft(failure -> openAttempts.refuseUnknown(
                grantManager::contains, sameIncarnation ? failure : incarnationMismatch(failure)));
        refreshLoad();
        return used.map(grant -> openAttempts.find(attempt).orElse(null));
    }

    /**
     * Refuses an execute frame that arrived on another exchange than its grant, and invalidates the grant.
     *
     * @param exchange the exchange
     * @param use the grant
     */
    public void useOnOtherExchange(Exchange exchange, GrantUse use) {
        Either<Failure, Grant> used =
                grantManager.use(NO_SESSION, use.getGrant(), GrantMessages.attempt(use.getRequest()));
        used.peekLeft(failure -> {
            openAttempts.refuseUnknown(grantManager::contains, failure);
            channel(exchange, use.getRequest()).refuse(failure);
        });
        refreshLoad();
    }

    /**
     * Keeps the units of an ended attempt reserved, because the upstream may still hold memory for it.
     *
     * @param attempt the attempt
     */
    public void markStopping(AttemptIdentity attempt) {
        openAttempts.remove(attempt);
        grantManager.markStopping(attempt);
    }

    /**
     * Releases the units of a completed prefill. Its result stays retained at the engine.
     *
     * @param attempt the attempt
     */
    public void retainResult(AttemptIdentity attempt) {
        dispatch(grantManager.retainResult(attempt));
    }

    /**
     * Ends the trial of an isolated attempt that has not crashed its engine, so that other suspects may run beside it.
     *
     * @param attempt the attempt
     */
    public void passTrial(AttemptIdentity attempt) {
        dispatch(grantManager.passTrial(attempt));
    }

    /**
     * Tells whether an attempt is on trial: its request is suspected of crashing engines, and it has not yet run long
     * enough to be cleared.
     *
     * @param attempt the attempt
     * @return whether the attempt is on trial
     */
    public boolean isOnTrial(AttemptIdentity attempt) {
        return grantManager.isOnTrial(attempt);
    }

    /**
     * Releases the units of an attempt that has ended.
     *
     * @param attempt the attempt
     */
    public void finish(AttemptIdentity attempt) {
        openAttempts.remove(attempt);
        dispatch(grantManager.release(attempt));
    }

    /**
     * Returns the load after the most recent decision. Thread-safe.
     *
     * @return the load, empty before the first decision
     */
    public Load load() {
        return load;
    }

    /**
     * Returns the active revisions of inventory and rules. Thread-safe.
     *
     * @return the revisions, {@link Revisions#NONE} for both before the first configuration
     */
    public Revisions revisions() {
        return revisions;
    }

    /**
     * Returns the active configuration of this instance.
     *
     * @return the configuration, empty before the first call of {@link #configure}
     */
    public Optional<ServingConfiguration> configuration() {
        return configuration;
    }

    /**
     * Tells whether no attempt waits, is granted or runs.
     *
     * @return whether the stage is idle
     */
    public boolean isIdle() {
        return grantManager.isIdle();
    }

    /**
     * Returns all grants and waiting grant requests, for the state dump.
     *
     * @return a snapshot
     */
    public GrantManagerState state() {
        return grantManager.state();
    }

    private void submitFree(OpenAttempt attempt) {
        submit(attempt, GrantMessages.units(attempt.request()));
    }

    /** Submits a suspect on trial: no other suspect runs beside it until it has passed. */
    private void isolate(OpenAttempt attempt) {
        metrics.counter("suspicion.isolated").inc();
        submit(attempt.asIsolated(), GrantMessages.units(attempt.request()));
    }

    private void submit(OpenAttempt attempt, int units) {
        openAttempts.add(attempt);
        GrantDemand demand = GrantMessages.demand(attempt.request(), attempt.session(), units);
        dispatch(grantManager.request(attempt.isolated() ? demand.asTrial() : demand));
    }

    private static Failure incarnationMismatch(Failure failure) {
        return failure.executionState() == ExecutionState.NOT_RUN
                ? Failure.retryable(
                        ResultCode.INCARNATION_MISMATCH,
                        "the grant was issued by another incarnation of the sidecar",
                        RETRY_MILLIS)
                : failure;
    }

    private void dispatch(List<GrantEvent> events) {
        refreshLoad();
        events.forEach(openAttempts::dispatch);
    }

    private ResponseChannel channel(Exchange exchange, RequestIdentity identity) {
        return new ResponseChannel(exchange, identity, incarnation, this::load, this::revisions);
    }

    private void refreshLoad() {
        load = GrantMessages.toWire(grantManager.load());
    }
}
