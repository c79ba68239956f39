package org.merlinwood.sidecar.admission;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.Failure;
import org.merlinwood.decision.grant.AttemptIdentity;
import org.merlinwood.decision.grant.GrantEvent;
import org.merlinwood.protocol.WireValues;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.Granted;
import org.merlinwood.wire.Load;
import org.merlinwood.wire.Queued;

/**
 * The attempts that were submitted to the grant manager and whose exchanges have not ended: sends them its grants,
 * queue positions and failures. Used by the control thread only.
 */
final class OpenAttempts {

    private final DemandFilter filter;
    private final Incarnation incarnation;
    private final MetricRegistry metrics;
    private final Consumer<AttemptIdentity> onCancelled;
    private final Supplier<Load> load;
    private final Supplier<Revisions> revisions;
    private final Map<AttemptIdentity, OpenAttempt> byAttempt = new HashMap<>();

    /**
     * Creates an empty set.
     *
     * @param filter knows which refused requests may have run earlier
     * @param incarnation incarnation of this process
     * @param metrics registry for the decision counters
     * @param onCancelled called with each running attempt that has to be cancelled
     * @param load returns the load after the most recent decision
     * @param revisions returns the active revisions of inventory and rules
     */
    OpenAttempts(
            DemandFilter filter,
            Incarnation incarnation,
            MetricRegistry metrics,
            Consumer<AttemptIdentity> onCancelled,
            Supplier<Load> load,
            Supplier<Revisions> revisions) {
        this.filter = filter;
        this.incarnation = incarnation;
        this.metrics = metrics;
        this.onCancelled = onCancelled;
        this.load = load;
        this.revisions = revisions;
    }

    /**
     * Adds an attempt.
     *
     * @param attempt the attempt, about to be submitted to the grant manager
     */
    void add(OpenAttempt attempt) {
        byAttempt.put(attempt.attempt(), attempt);
    }

    /**
     * Finds an attempt.
     *
     * @param attempt request and attempt number
     * @return the attempt, or empty if it is not open
     */
    Optional<OpenAttempt> find(AttemptIdentity attempt) {
        return Optional.ofNullable(byAttempt.get(attempt));
    }

    /**
     * Removes an attempt.
     *
     * @param attempt request and attempt number
     * @return the attempt, or empty if it is not open
     */
    Optional<OpenAttempt> remove(AttemptIdentity attempt) {
        return Optional.ofNullable(byAttempt.remove(attempt));
    }

    /**
     * Sends an event to the entry of its attempt, if its exchange has not ended.
     *
     * @param event event of the grant manager
     */
    void dispatch(GrantEvent event) {
        switch (event) {
            case GrantEvent.Granted granted ->
                find(granted.attempt()).ifPresent(attempt -> attempt.channel().send(grantedFrame(granted)));
            case GrantEvent.Waiting waiting ->
                find(waiting.attempt()).ifPresent(attempt -> attempt.channel().send(queuedFrame(waiting)));
            case GrantEvent.Refused refused -> {
                remove(refused.attempt()).ifPresent(attempt -> refuse(attempt, refused.failure()));
            }
            case GrantEvent.Cancelled cancelled -> {
                remove(cancelled.attempt())
                        .ifPresent(attempt -> attempt.channel().fail(cancelled.failure()));
                onCancelled.accept(cancelled.attempt());
            }
        }
    }

    /**
     * Refuses an attempt, open or not.
     *
     * @param attempt the attempt
     * @param failure the reason
     */
    void refuse(OpenAttempt attempt, Failure failure) {
        count(failure);
        attempt.channel().refuse(filter.withKnownExecutionState(attempt.request(), failure));
    }

    /**
     * Refuses the attempts whose grants were invalidated.
     *
     * @param isKnown tells whether the grant manager still knows an attempt
     * @param failure the failure that is sent to the entries
     */
    void refuseUnknown(Predicate<AttemptIdentity> isKnown, Failure failure) {
        List<OpenAttempt> invalidated = new ArrayList<>(byAttempt.values());
        invalidated.removeIf(attempt -> isKnown.test(attempt.attempt()));
        invalidated.forEach(attempt -> {
            byAttempt.remove(attempt.attempt());
            refuse(attempt, failure);
        });
    }

    /**
     * Counts a refusal.
     *
     * @param failure the reason
     */
    void count(Failure failure) {
        metrics.counter("grants.refused." + failure.code().name()).inc();
    }

    private Frame.Builder grantedFrame(GrantEvent.Granted event) {
        metrics.counter("grants.given").inc();
        return Frame.newBuilder()
                .setGranted(Granted.newBuilder()
                        .setGrant(event.grant().number())
                        .setIncarnation(incarnation.value())
                        .setExpiresInMillis((int) event.expiresInMillis())
                        .setLoad(load.get())
                        .setRevisions(WireValues.toWire(revisions.get())));
    }

    private Frame.Builder queuedFrame(GrantEvent.Waiting waiting) {
        metrics.counter("grants.queued").inc();
        return Frame.newBuilder()
                .setQueued(Queued.newBuilder()
                        .setExpectedWaitMillis((int) waiting.expectedWaitMillis())
                        .setLoad(load.get()));
    }
}
