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
 * Admits requests, and runs each to its one terminal event.
 *
 * <p>Built once; serves from the first configuration until the process ends. Thread-safe: every step is handed to the
 * control thread.
 */
public final class Dispatcher implements StateSection {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String SECTION = "requests";

    private final DispatchComponents parts;
    private final InstanceName self;
    private final FailureDomain failureDomain;
    private final Map<RequestIdentifier, RequestRunner> runners = new LinkedHashMap<>();
    private final AtomicInteger openRequests = new AtomicInteger();
    private final ModelKeys modelKeys = new ModelKeys();
    private Optional<ControlState> state = Optional.empty();

    // ------------------------------------------------------------------ configuration

    private Dispatcher(Builder builder) {
        this.parts = new DispatchComponents(
                Objects.requireNonNull(builder.endpoint, "endpoint"),
                Objects.requireNonNull(builder.control, "control"),
                builder.clock,
                Objects.requireNonNull(builder.metrics, "metrics"),
                builder.revisions,
                builder.peerRevisions,
                builder.keys);
        this.self = builder.self;
        this.failureDomain = builder.failureDomain;
        parts.metrics().gauge("open_requests", openRequests::get);
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

    /** Collects the configuration. Used by one thread. */
    public static final class Builder {

        private final InstanceName self;
        private final FailureDomain failureDomain;
        private PeerEndpoint endpoint;
        private ControlLoop control;
        private MillisClock clock = SystemMillisClock.shared();
        private EntryMetrics metrics;
        private Supplier<Revisions> revisions = () -> new Revisions(Revisions.NONE, Revisions.NONE);
        private BiConsumer<PeerConnection, Revisions> peerRevisions = (connection, told) -> {};
        private List<SharedKey> keys = List.of();

        private Builder(InstanceName self, FailureDomain failureDomain) {
            this.self = Objects.requireNonNull(self, "self");
            this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain");
        }

        /**
         * Sets the connections to the sidecars.
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
         * Sets the control thread.
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
         * Sets another clock than that of the machine.
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
         * Sets the metrics.
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
         * Sets where the revisions come from that every request for a grant carries.
         *
         * @param value returns the revisions in force
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder revisions(Supplier<Revisions> value) {
            revisions = value;
            return this;
        }

        /**
         * Sets who hears of the revisions that ride on grants and refusals.
         *
         * @param value catches up with them if they are higher; must not block
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder peerRevisions(BiConsumer<PeerConnection, Revisions> value) {
            peerRevisions = value;
            return this;
        }

        /**
         * Sets the keys of the fleet.
         *
         * @param values the valid keys; the first one mints
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
         * @return the dispatcher, which refuses all requests until it is configured
         */
        public Dispatcher build() {
            return new Dispatcher(this);
        }
    }

    // ------------------------------------------------------------------ public API

    /**
     * Puts a configuration in force.
     *
     * @param changed inventory and rules
     */
    public void configure(ActiveConfiguration changed) {
        parts.control()
                .execute(() -> state.ifPresentOrElse(
                        present -> present.configure(changed),
                        () -> state = Optional.of(new ControlState(self, failureDomain, parts.clock(), changed))));
    }

    /**
     * Takes a request. The sink gets its one terminal event, sooner or later.
     *
     * @param request the request
     * @param sink where the answer goes
     */
    public void dispatch(ClassifiedRequest request, RequestSink sink) {
        openRequests.incrementAndGet();
        parts.control().execute(() -> admitGuarded(request, sink));
    }

    /**
     * Gives up a request whose caller has gone or reads too slowly. What was settled already stays so.
     *
     * @param identifier the request
     * @param failure why
     */
    public void giveUp(RequestIdentifier identifier, Failure failure) {
        parts.control()
                .execute(
                        () -> Optional.ofNullable(runners.get(identifier)).ifPresent(runner -> runner.giveUp(failure)));
    }

    /**
     * Gives up all open requests, since the process ends.
     *
     * @param failure why
     */
    public void giveUpAll(Failure failure) {
        parts.control().execute(() -> List.copyOf(runners.values()).forEach(runner -> runner.giveUp(failure)));
    }

    /**
     * Returns how many requests have not got their terminal event.
     *
     * @return a count at some moment
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
        return parts.control().call(this::describe).join();
    }

    // ------------------------------------------------------------------ internals: admission

    /** A fault of this program must not leave a caller without an answer. */
    private void admitGuarded(ClassifiedRequest request, RequestSink sink) {
        try {
            admit(request, sink);
        } catch (RuntimeException exception) {
            logger.atSevere().withCause(exception).log("a request could not be admitted");
            refuse(request, sink, RequestRunner.INTERNAL_FAULT);
        }
    }

    private void admit(ClassifiedRequest request, RequestSink sink) {
        if (state.isEmpty()) {
            refuse(request, sink, Failure.of(ResultCode.NOT_READY, "no inventory and rules are in force yet"));
            return;
        }
        ControlState present = state.get();
        Either<Failure, Integer> entered = present.enter(request.identified());
        if (entered.isLeft()) {
            refuse(request, sink, entered.getLeft());
            return;
        }
        Runnable leave = leaveOnce(present, request);
        switch (request) {
            case ClassifiedRequest.ModelRequest call -> admitModel(call, sink, present, leave);
            case ClassifiedRequest.PlainRequest call -> run(call, sink, present, leave);
            case ClassifiedRequest.MintRequest call -> new KeyMinting(call, sink, parts, present, leave).start();
        }
    }

    private void admitModel(
            ClassifiedRequest.ModelRequest call, RequestSink sink, ControlState present, Runnable leave) {
        switch (present.admit(call)) {
            case AdmissionDecision.Admit admitted ->
                modelKeys
                        .take(call, this::supersede)
                        .ifPresentOrElse(
                                reused -> refuseEntered(sink, reused, leave), () -> run(call, sink, present, leave));
            case AdmissionDecision.Refuse refused -> refuseEntered(sink, refused.failure(), leave);
        }
    }

    private void refuseEntered(RequestSink sink, Failure failure, Runnable leave) {
        parts.metrics().ended(failure.code());
        sink.failure(failure);
        leave.run();
    }

    private void run(ClassifiedRequest request, RequestSink sink, ControlState present, Runnable leave) {
        RequestIdentifier identifier = request.identified().accepted().identifier();
        RequestRunner runner = new RequestRunner(request, sink, parts, present, () -> {
            runners.remove(identifier);
            modelKeys.release(request);
            leave.run();
        });
        runners.put(identifier, runner);
        runner.start();
    }

    private void supersede(RequestIdentifier earlier) {
        Optional.ofNullable(runners.get(earlier))
                .ifPresent(runner -> runner.giveUp(
                        Failure.of(ResultCode.SUPERSEDED, "the caller sent the request again, with the same key")));
    }

    private Runnable leaveOnce(ControlState present, ClassifiedRequest request) {
        AtomicBoolean left = new AtomicBoolean();
        return () -> {
            if (left.compareAndSet(false, true)) {
                present.leave(request.identified());
                openRequests.decrementAndGet();
            }
        };
    }

    private void refuse(ClassifiedRequest request, RequestSink sink, Failure failure) {
        parts.metrics().ended(failure.code());
        sink.failure(judgeKey(request, failure));
        openRequests.decrementAndGet();
    }

    /** Of a key that a caller sent, only its instance knows whether an earlier request with it ran. */
    private static Failure judgeKey(ClassifiedRequest request, Failure failure) {
        boolean hasKey = request instanceof ClassifiedRequest.PlainRequest call
                && (call.key() instanceof KeyUse.Own || call.key() instanceof KeyUse.Minted);
        return hasKey ? failure.withExecutionState(ExecutionState.UNKNOWN) : failure;
    }

    // ------------------------------------------------------------------ internals: dump

    private DispatchState describe() {
        return new DispatchState(
                runners.values().stream().map(RequestRunner::describe).toList(),
                state.map(ControlState::pools).orElse(List.of()),
                state.map(ControlState::activeCallers).orElse(0),
                state.map(present -> present.retryBudget().tokens()).orElse(0.0),
                parts.endpoint().openConnections());
    }

    /**
     * State of an entry, for the dump. Immutable.
     *
     * @param openRequests requests that are not settled
     * @param pools the pools and the instances that this entry uses
     * @param activeCallers callers with open requests
     * @param retryTokens repeated attempts that the budget allows now
     * @param openConnections connections to peers
     */
    public record DispatchState(
            List<OpenRequest> openRequests,
            List<ControlState.PoolState> pools,
            int activeCallers,
            double retryTokens,
            int openConnections) {}
}
