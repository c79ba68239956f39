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
 * Brings the engine to what the inventory says, one order at a time, and looks again and again whether it still is.
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
    private final Supplier<Set<ModelName>> inUse;
    private final MetricRegistry metrics;
    private final FencingNumbers numbers;
    private final OrderPacing pacing;
    private Optional<Inventory> inventory = Optional.empty();
    private Optional<Instance> row = Optional.empty();
    private boolean busy;

    /**
     * Creates a stage that orders nothing before it is configured.
     *
     * @param loop the control thread
     * @param clock judges pacing; its wall time is the first guess of a fencing number
     * @param engine the engine
     * @param weightStore where the engine fetches weights
     * @param inUse models that something running uses
     * @param random spreads orders
     * @param metrics counts orders
     */
    public OrderStage(
            ControlLoop loop,
            MillisClock clock,
            EngineClient engine,
            NetworkAddress weightStore,
            Supplier<Set<ModelName>> inUse,
            UniformRandomProvider random,
            MetricRegistry metrics) {
        this.loop = loop;
        this.engine = engine;
        this.weightStore = weightStore;
        this.inUse = inUse;
        this.metrics = metrics;
        this.numbers = new FencingNumbers(clock.wallMillis());
        this.pacing = new OrderPacing(clock, random);
    }

    /** Starts to compare. */
    @SuppressWarnings("FutureReturnValueIgnored") // the repetition ends with the loop
    public void start() {
        loop.repeat(PERIOD_MILLIS, this::compare);
    }

    /**
     * Puts an inventory in force.
     *
     * @param next the inventory
     * @param own the row of this instance
     */
    public void configure(Inventory next, Instance own) {
        inventory = Optional.of(next);
        row = Optional.of(own);
    }

    // ------------------------------------------------------------------ internals

    @SuppressWarnings("FutureReturnValueIgnored") // completed in the callback, never exceptionally
    private void compare() {
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
        OrderPlanner.next(inventory.orElseThrow(), row.orElseThrow(), state, inUse.get())
                .ifPresent(order -> give(order, numbers.next(state.highestFencing())));
    }

    @SuppressWarnings("FutureReturnValueIgnored") // completed in the callback, never exceptionally
    private void give(EngineOrder order, long fencing) {
        busy = true;
        logger.atInfo().log("order %d: %s", fencing, order);
        metrics.counter("orders.given").inc();
        engine.order(order, fencing, weightStore).thenAccept(result -> loop.execute(() -> judge(order, result)));
    }

    private void judge(EngineOrder order, Either<Failure, Boolean> result) {
        busy = false;
        if (result.isRight()) {
            pacing.recordAccepted();
            compare();
            return;
        }
        Failure failure = result.getLeft();
        metrics.counter("orders.refused").inc();
        logger.atInfo().log("%s was not obeyed: %s", order, failure);
        boolean told = failure.retryAfterMillis() != Failure.NO_RETRY;
        pacing.recordRefused(told ? failure.retryAfterMillis() : FAILURE_RETRY_MILLIS);
    }
}
