package org.merlinwood.gateway.order;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.decision.DemandMeter;
import org.merlinwood.gateway.decision.EntryStatus;
import org.merlinwood.gateway.decision.InstancePool;
import org.merlinwood.gateway.decision.OrderLeadership;
import org.merlinwood.gateway.decision.RateHistory;
import org.merlinwood.gateway.decision.StagePlan;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.route.EngineLimits;
import org.merlinwood.gateway.route.UpstreamService;
import org.merlinwood.gateway.upstream.OrderAnswer;
import org.merlinwood.gateway.upstream.UpstreamProtocol;
import org.merlinwood.http.ConnectionUse;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.operation.log.DecisionLog;

/** Gives the orders that {@link StagePlan} asks for, one at a time. Used by the event loop alone. */
public final class StageOrders {

    /** Longest time of an order's answer, in milliseconds. */
    private static final long ANSWER_LIMIT_MILLIS = 500;

    /** Time beyond the change itself until an instance counts as back, in milliseconds: running work ends first. */
    private static final long FINISH_MILLIS = 3_000;

    /** Least time between two orders, in milliseconds: the demand is measured anew meanwhile. */
    private static final long BETWEEN_ORDERS_MILLIS = 1_500;

    private final OrderLeadership holder;
    private final FleetState fleet;
    private final InstancePool pool;
    private final DemandMeter meter;
    private final UpstreamProtocol protocol;
    private final HttpClient client;
    private final MillisClock clock;
    private final DecisionLog log;
    private final String ownName;
    private final Map<String, EntryStatus> news = new HashMap<>();
    private final Map<String, Long> switchingUntilMillis = new HashMap<>();
    private final Map<String, Stage> orderedStages = new HashMap<>();
    private final Map<String, RateHistory> rateHistories = new HashMap<>();
    private long lastOrderMillis = Long.MIN_VALUE / 2;

    /**
     * Creates the orders of one entry.
     *
     * @param holder decides whether this entry gives orders
     * @param fleet routes and instances
     * @param pool load of instances
     * @param meter what callers ask of this entry
     * @param protocol writes orders
     * @param client sends them
     * @param clock the time
     * @param log a line for each decision
     * @param ownName name of this entry
     */
    public StageOrders(
            OrderLeadership holder,
            FleetState fleet,
            InstancePool pool,
            DemandMeter meter,
            UpstreamProtocol protocol,
            HttpClient client,
            MillisClock clock,
            DecisionLog log,
            String ownName) {
        this.holder = holder;
        this.fleet = fleet;
        this.pool = pool;
        this.meter = meter;
        this.protocol = protocol;
        this.client = client;
        this.clock = clock;
        this.log = log;
        this.ownName = ownName;
    }

    // ------------------------------------------------------------------ news

    /**
     * Notes the news of another entry.
     *
     * @param told its news
     */
    public void onStatus(EntryStatus told) {
        news.put(told.address(), told);
        holder.recordPeerToken(told.highestFencingToken());
        told.switching().forEach(instance -> {
            if (!switchingUntilMillis.containsKey(instance)) {
                switching(instance, FINISH_MILLIS);
            }
        });
    }

    /**
     * Forgets another entry.
     *
     * @param address its peer address
     */
    public void removePeer(String address) {
        news.remove(address);
    }

    /**
     * Returns the instances that are changing their stage.
     *
     * @return their identifiers
     */
    public List<String> switching() {
        return List.copyOf(switchingUntilMillis.keySet());
    }

    /**
     * Returns the highest fencing token that is known.
     *
     * @return the token, 0 for none
     */
    public long highestFencingToken() {
        return holder.highestFencingToken();
    }

    // ------------------------------------------------------------------ orders

    /**
     * Gives an order if one is due. To be called several times a second.
     *
     * @param known number of other entries that are known
     * @param storeRevision revision of the store
     */
    public void issueIfDue(int known, long storeRevision) {
        forgetFinished();
        boolean mayOrder = holder.mayIssueOrders(news.keySet(), known, storeRevision);
        if (!mayOrder) {
            rateHistories.clear();
            return;
        }
        if (clock.monotonicMillis() - lastOrderMillis < BETWEEN_ORDERS_MILLIS) {
            return;
        }
        fleet.routes().ifPresent(routes -> routes.services().values().forEach(this::issueIfDue));
    }

    private void issueIfDue(UpstreamService service) {
        if (service.engine().isEmpty()) {
            return;
        }
        StagePlan.View view = view(service.name());
        StagePlan.next(view)
                .ifPresent(change -> order(change, view, service.engine().get()));
    }

    /** Entries that have not measured a whole window yet count like the others on average. */
    private StagePlan.View view(String service) {
        List<UpstreamInstance> usable = fleet.instances(service).stream()
                .filter(instance -> !instance.leaving())
                .map(this::asOrdered)
                .toList();
        List<EntryStatus.ServiceDemand> demands = new ArrayList<>();
        demand(meter.demands(), service).ifPresent(demands::add);
        news.values().forEach(told -> demand(told.demands(), service).ifPresent(demands::add));
        double measured = demands.stream()
                .mapToInt(EntryStatus.ServiceDemand::promptTokens)
                .sum();
        int withoutRoom = demands.stream()
                .mapToInt(EntryStatus.ServiceDemand::requestsWithoutCapacity)
                .sum();
        double tokens = demands.isEmpty() ? 0 : measured * (news.size() + 1) / demands.size();
        RateHistory rates = rateHistories.computeIfAbsent(service, ignored -> new RateHistory(clock));
        rates.add(tokens / DemandMeter.WINDOW_MILLIS);
        return new StagePlan.View(
                usable, rates.stableMaximum(), rates.minimum(), pool.prefillTokensPerMilli(), withoutRoom);
    }

    /** An instance counts with the stage that it was ordered to, so that no order is given twice. */
    private UpstreamInstance asOrdered(UpstreamInstance instance) {
        return Optional.ofNullable(orderedStages.get(instance.identifier()))
                .map(instance::withStage)
                .orElse(instance);
    }

    private static Optional<EntryStatus.ServiceDemand> demand(List<EntryStatus.ServiceDemand> demands, String service) {
        return demands.stream()
                .filter(demand -> demand.service().equals(service))
                .findFirst();
    }

    private void order(StagePlan.Change change, StagePlan.View view, EngineLimits limits) {
        UpstreamInstance instance = change.instance();
        lastOrderMillis = clock.monotonicMillis();
        switching(instance.identifier(), limits.switchMillis() + FINISH_MILLIS);
        orderedStages.put(instance.identifier(), change.stage());
        log.line("order")
                .with("instance", instance.identifier())
                .with("stage", change.stage().name())
                .with("fence", holder.fencingToken())
                .with("promptTokensPerSecond", Math.round(view.highestPromptRate() * 1_000))
                .with("prefillTokensPerSecond", Math.round(view.prefillTokensPerMilli() * 1_000))
                .with("withoutRoom", view.requestsWithoutCapacity())
                .write();
        HttpRequest call = protocol.order(instance, change.stage(), ownName, holder.fencingToken())
                .withTimeouts(ANSWER_LIMIT_MILLIS, ANSWER_LIMIT_MILLIS)
                .withConnectionUse(ConnectionUse.FRESH);
        client.execute(call, result -> onAnswer(instance, result));
    }

    private void onAnswer(UpstreamInstance instance, Either<Failure, HttpResponse> result) {
        OrderAnswer answer = result.fold(failure -> OrderAnswer.UNKNOWN, protocol::readOrder);
        log.line("order answered")
                .with("instance", instance.identifier())
                .with("answer", answer.name())
                .write();
        switch (answer) {
            case FENCED -> {
                holder.tokenRejected();
                forgetOrder(instance);
            }
            case DECLINED -> forgetOrder(instance);
            case ACCEPTED, UNKNOWN -> {}
        }
    }

    private void forgetOrder(UpstreamInstance instance) {
        switchingUntilMillis.remove(instance.identifier());
        orderedStages.remove(instance.identifier());
    }

    private void switching(String instance, long millis) {
        switchingUntilMillis.put(instance, clock.monotonicMillis() + millis);
        pool.switching(switchingUntilMillis.keySet());
    }

    private void forgetFinished() {
        long now = clock.monotonicMillis();
        switchingUntilMillis.entrySet().removeIf(entry -> entry.getValue() < now);
        orderedStages.keySet().retainAll(switchingUntilMillis.keySet());
        pool.switching(switchingUntilMillis.keySet());
    }
}
