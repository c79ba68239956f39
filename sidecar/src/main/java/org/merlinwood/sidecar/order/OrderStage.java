package org.merlinwood.sidecar.order;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.decision.order.EngineOrder;
import org.merlinwood.decision.order.EngineState;
import org.merlinwood.decision.order.FencingNumbers;
import org.merlinwood.decision.order.OrderPacing;
import org.merlinwood.decision.order.OrderPlanner;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.sidecar.upstream.EngineClient;

/**
 * Periodically compares the state of the engine with the inventory and issues orders, one at a time, until they match.
 *
 * <p>Used by the control thread only.
 */
public final class OrderStage {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long PERIOD_MILLIS = 500;
    private static final long FAILURE_RETRY_MILLIS = 1_000;

    private final ControlLoop loop;
    private final EngineClient engine;
    private final NetworkAddress weightStore;
    private final Supplier<Set<ModelName>> modelsInUse;
    private final MetricRegistry metrics;
    private final FencingNumbers fencingNumbers;
    private final OrderPacing pacing;
    private Optional<Inventory> inventory = Optional.empty();
    private Optional<Instance> row = Optional.empty();
    private boolean busy;

    /**
     * Creates a stage that issues no orders before it is configured.
     *
     * @param loop the control loop
     * @param clock paces orders; its wall time is the initial fencing number
     * @param engine sends orders to the engine
     * @param weightStore address from which the engine fetches weights
     * @param modelsInUse returns the models that running attempts use
     * @param random source of the jitter between orders
     * @param metrics registry for the order counters
     */
    public OrderStage(
            ControlLoop loop,
            MillisClock clock,
            EngineClient engine,
            NetworkAddress weightStore,
            Supplier<Set<ModelName>> modelsInUse,
            UniformRandomProvider random,
            MetricRegistry metrics) {
        this.loop = loop;
        this.engine = engine;
        this.weightStore = weightStore;
        this.modelsInUse = modelsInUse;
        this.metrics = metrics;
        this.fencingNumbers = new FencingNumbers(clock.wallMillis());
        this.pacing = new OrderPacing(clock, random);
    }

    /** Starts the periodic comparison. */
    @SuppressWarnings("FutureReturnValueIgnored") // the repetition ends with the loop
    public void start() {
        loop.repeat(PERIOD_MILLIS, this::compareState);
    }

    /**
     * Applies a new inventory.
     *
     * @param next the inventory
     * @param own inventory entry of this instance
     */
    public void configure(Inventory next, Instance own) {
        inventory = Optional.of(next);
        row = Optional.of(own);
    }

    @SuppressWarnings("FutureReturnValueIgnored") // completed in the callback, never exceptionally
    private void compareState() {
        if (busy || row.isEmpty() || !pacing.mayOrder()) {
            return;
        }
        busy = true;
        engine.state()
                .thenAccept(result -> loop.execute(() -> {
                    busy = false;
                    result.peek(this::orderNext);
                }));
    }

    private void orderNext(EngineState state) {
        OrderPlanner.next(inventory.orElseThrow(), row.orElseThrow(), state, modelsInUse.get())
                .ifPresent(order -> issue(order, fencingNumbers.next(state.highestFencing())));
    }

    @SuppressWarnings("FutureReturnValueIgnored") // completed in the callback, never exceptionally
    private void issue(EngineOrder order, long fencing) {
        busy = true;
        logger.atInfo().log("order %d: %s", fencing, order);
        metrics.counter("orders.given").inc();
        engine.order(order, fencing, weightStore).thenAccept(result -> loop.execute(() -> onResult(order, result)));
    }

    private void onResult(EngineOrder order, Either<Failure, Boolean> result) {
        busy = false;
        if (result.isRight()) {
            pacing.recordAccepted();
            compareState();
            return;
        }
        Failure failure = result.getLeft();
        metrics.counter("orders.refused").inc();
        logger.atInfo().log("the engine did not carry out %s: %s", order, failure);
        boolean hasRetryDelay = failure.retryAfterMillis() != Failure.NO_RETRY;
        pacing.recordRefused(hasRetryDelay ? failure.retryAfterMillis() : FAILURE_RETRY_MILLIS);
    }
}
