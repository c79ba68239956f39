package org.merlinwood.entry.dispatch;

import com.google.common.flogger.FluentLogger;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.merlinwood.configuration.settings.SharedKey;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.decision.admission.AdmissionDecision;
import org.merlinwood.entry.request.ClassifiedRequest;
import org.merlinwood.entry.request.KeyUse;
import org.merlinwood.following.ActiveConfiguration;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.operation.port.StateSection;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.PeerEndpoint;

/**
 * Admits requests and runs each of them until its single terminal event.
 *
 * <p>Built once; refuses all requests until the first configuration and then serves until the process ends.
 * Thread-safe: all work is done on the control thread.
 */
public final class Dispatcher implements StateSection {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String SECTION = "requests";

    private final DispatchComponents components;
    private final InstanceName self;
    private final FailureDomain failureDomain;
    private final Map<RequestIdentifier, RequestRunner> runners = new LinkedHashMap<>();
    private final AtomicInteger openRequests = new AtomicInteger();
    private final ModelKeys modelKeys = new ModelKeys();
    private Optional<ControlState> state = Optional.empty();

    // ------------------------------------------------------------------ configuration

    private Dispatcher(Builder builder) {
        this.components = new DispatchComponents(
                Objects.requireNonNull(builder.endpoint, "endpoint"),
                Objects.requireNonNull(builder.control, "control"),
                builder.clock,
                Objects.requireNonNull(builder.metrics, "metrics"),
                builder.revisions,
                builder.peerRevisions,
                builder.keys);
        this.self = builder.self;
        this.failureDomain = builder.failureDomain;
        components.metrics().gauge("open_requests", openRequests::get);
    }

    /**
     * Returns a builder.
     *
     * @param self name of the entry's own instance
     * @param failureDomain failure domain of the entry
     * @return a new builder
     */
    public static Builder builder(InstanceName self, FailureDomain failureDomain) {
        return new Builder(self, failureDomain);
    }

    /** Builder of a dispatcher. Not thread-safe. */
    public static final class Builder {

        private final InstanceName self;
        private final FailureDomain failureDomain;
        private PeerEndpoint endpoint;
        private ControlLoop control;
        private MillisClock clock = SystemMillisClock.shared();
        private EntryMetrics metrics;
        private Supplier<Revisions> revisions = () -> new Revisions(Revisions.NONE, Revisions.NONE);
        private BiConsumer<PeerConnection, Revisions> peerRevisions = (connection, revisions) -> {};
        private List<SharedKey> keys = List.of();

        private Builder(InstanceName self, FailureDomain failureDomain) {
            this.self = Objects.requireNonNull(self, "self");
            this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain");
        }

        /**
         * Sets the endpoint used for connections to the sidecars. Required.
         *
         * @param value the endpoint
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder endpoint(PeerEndpoint value) {
            endpoint = value;
            return this;
        }

        /**
         * Sets the control loop on which requests are processed. Required.
         *
         * @param value the control loop
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder control(ControlLoop value) {
            control = value;
            return this;
        }

        /**
         * Sets the clock, by default the system clock.
         *
         * @param value the clock
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder clock(MillisClock value) {
            clock = value;
            return this;
        }

        /**
         * Sets the metrics. Required.
         *
         * @param value the metrics
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder metrics(EntryMetrics value) {
            metrics = value;
            return this;
        }

        /**
         * Sets the source of the revisions that are sent with every grant request.
         *
         * @param value returns the active revisions
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder revisions(Supplier<Revisions> value) {
            revisions = value;
            return this;
        }

        /**
         * Sets the consumer of the revisions that sidecars report with grants and refusals.
         *
         * @param value updates to these revisions if they are higher; must not block
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder peerRevisions(BiConsumer<PeerConnection, Revisions> value) {
            peerRevisions = value;
            return this;
        }

        /**
         * Sets the shared keys of the fleet.
         *
         * @param values the valid keys; the first one is used to mint idempotency keys
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder keys(List<SharedKey> values) {
            keys = List.copyOf(values);
            return this;
        }

        /**
         * Builds the dispatcher.
         *
         * @return the dispatcher, which refuses all requests until {@link Dispatcher#configure} is called
         */
        public Dispatcher build() {
            return new Dispatcher(this);
        }
    }

    // ------------------------------------------------------------------ public API

    /**
     * Applies a configuration.
     *
     * @param changed the new inventory and rules
     */
    public void configure(ActiveConfiguration changed) {
        components
                .control()
                .execute(() -> state.ifPresentOrElse(
                        present -> present.configure(changed),
                        () -> state = Optional.of(new ControlState(self, failureDomain, components.clock(), changed))));
    }

    /**
     * Admits and runs a request. The sink always receives exactly one terminal event.
     *
     * @param request the request
     * @param sink receives the response
     */
    public void dispatch(ClassifiedRequest request, RequestSink sink) {
        openRequests.incrementAndGet();
        components.control().execute(() -> admitGuarded(request, sink));
    }

    /**
     * Gives up a request, for example because its caller has disconnected or reads too slowly. Has no effect on
     * completed requests.
     *
     * @param identifier identifier of the request
     * @param failure the failure to report
     */
    public void giveUp(RequestIdentifier identifier, Failure failure) {
        components
                .control()
                .execute(
                        () -> Optional.ofNullable(runners.get(identifier)).ifPresent(runner -> runner.giveUp(failure)));
    }

    /**
     * Gives up all open requests, since the process is shutting down.
     *
     * @param failure the failure to report
     */
    public void giveUpAll(Failure failure) {
        components.control().execute(() -> List.copyOf(runners.values()).forEach(runner -> runner.giveUp(failure)));
    }

    /**
     * Returns the number of requests that have not received their terminal event.
     *
     * @return the current number; may change concurrently
     */
    public int openRequests() {
        return openRequests.get();
    }

    @Override
    public String name() {
        return SECTION;
    }

    @Override
    public DispatchState state() {
        return components.control().call(this::describe).join();
    }

    // ------------------------------------------------------------------ internals: admission

    /** Refuses the request after an unexpected exception, so that the caller always gets a response. */
    private void admitGuarded(ClassifiedRequest request, RequestSink sink) {
        try {
            admit(request, sink);
        } catch (RuntimeException exception) {
            logger.atSevere().withCause(exception).log("request admission failed unexpectedly");
            refuse(request, sink, RequestRunner.INTERNAL_FAULT);
        }
    }

    private void admit(ClassifiedRequest request, RequestSink sink) {
        if (state.isEmpty()) {
            refuse(request, sink, Failure.of(ResultCode.NOT_READY, "the entry has no active inventory and rules yet"));
            return;
        }
        ControlState present = state.get();
        Either<Failure, Integer> acquired = present.tryAcquire(request.identified());
        if (acquired.isLeft()) {
            refuse(request, sink, acquired.getLeft());
            return;
        }
        Runnable release = releaseOnce(present, request);
        switch (request) {
            case ClassifiedRequest.ModelRequest model -> admitModel(model, sink, present, release);
            case ClassifiedRequest.PlainRequest plain -> run(plain, sink, present, release);
            case ClassifiedRequest.MintRequest mint -> new KeyMinting(mint, sink, components, present, release).start();
        }
    }

    private void admitModel(
            ClassifiedRequest.ModelRequest request, RequestSink sink, ControlState present, Runnable release) {
        switch (present.admit(request)) {
            case AdmissionDecision.Admit admitted ->
                modelKeys
                        .acquire(request, this::supersede)
                        .ifPresentOrElse(
                                failure -> refuseAdmitted(sink, failure, release),
                                () -> run(request, sink, present, release));
            case AdmissionDecision.Refuse refused -> refuseAdmitted(sink, refused.failure(), release);
        }
    }

    private void refuseAdmitted(RequestSink sink, Failure failure, Runnable release) {
        components.metrics().requestEnded(failure.code());
        sink.failure(failure);
        release.run();
    }

    private void run(ClassifiedRequest request, RequestSink sink, ControlState present, Runnable release) {
        RequestIdentifier identifier = request.identified().accepted().identifier();
        RequestRunner runner = new RequestRunner(request, sink, components, present, () -> {
            runners.remove(identifier);
            modelKeys.release(request);
            release.run();
        });
        runners.put(identifier, runner);
        runner.start();
    }

    private void supersede(RequestIdentifier earlier) {
        Optional.ofNullable(runners.get(earlier))
                .ifPresent(runner -> runner.giveUp(
                        Failure.of(ResultCode.SUPERSEDED, "the caller sent the request again with the same key")));
    }

    private Runnable releaseOnce(ControlState present, ClassifiedRequest request) {
        AtomicBoolean released = new AtomicBoolean();
        return () -> {
            if (released.compareAndSet(false, true)) {
                present.release(request.identified());
                openRequests.decrementAndGet();
            }
        };
    }

    private void refuse(ClassifiedRequest request, RequestSink sink, Failure failure) {
        components.metrics().requestEnded(failure.code());
        sink.failure(withKeyedExecutionState(request, failure));
        openRequests.decrementAndGet();
    }

    /**
     * Sets the execution state to unknown if the caller sent a key: only the instance of the key knows whether an
     * earlier request with it ran.
     */
    private static Failure withKeyedExecutionState(ClassifiedRequest request, Failure failure) {
        boolean hasKey = request instanceof ClassifiedRequest.PlainRequest plain
                && (plain.key() instanceof KeyUse.Own || plain.key() instanceof KeyUse.Minted);
        return hasKey ? failure.withExecutionState(ExecutionState.UNKNOWN) : failure;
    }

    // ------------------------------------------------------------------ internals: dump

    private DispatchState describe() {
        return new DispatchState(
                runners.values().stream().map(RequestRunner::describe).toList(),
                state.map(ControlState::pools).orElse(List.of()),
                state.map(ControlState::activeCallers).orElse(0),
                state.map(present -> present.retryBudget().tokens()).orElse(0.0),
                components.endpoint().openConnections());
    }

    /**
     * State of the dispatcher, for the state dump. Immutable.
     *
     * @param openRequests requests that are not complete
     * @param pools the instance pools and the instances that this entry uses
     * @param activeCallers callers with open requests
     * @param retryTokens number of retries that the budget currently allows
     * @param openConnections number of open connections to peers
     */
    public record DispatchState(
            List<OpenRequest> openRequests,
            List<ControlState.PoolState> pools,
            int activeCallers,
            double retryTokens,
            int openConnections) {}
}
