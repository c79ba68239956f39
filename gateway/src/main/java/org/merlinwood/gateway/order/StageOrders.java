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
import org.merlinwood.gateway.upstream.UpstreamClient;
import org.merlinwood.gateway.upstream.UpstreamProtocol;
import org.merlinwood.http.ConnectionUse;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.operation.log.DecisionLog;

/**
 * Orders instances to change between the prefill and decode stages as {@link StagePlan} decides, one instance at a
 * time. Only the entry that {@link OrderLeadership} selects issues orders.
 *
 * <p>Not thread-safe: used on the event loop only.
 */
public final class StageOrders {

    /** Connect and response timeout of an order, in milliseconds. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 500;

    /** Time for running work to finish, in milliseconds, added to the switch time of an instance. */
    private static final long FINISH_RUNNING_MILLIS = 3_000;

    /** Minimum interval between two orders, in milliseconds. Demand is measured again in between. */
    private static final long MINIMUM_ORDER_INTERVAL_MILLIS = 1_500;

    private final OrderLeadership leadership;
    private final FleetState fleet;
    private final InstancePool pool;
    private final DemandMeter demandMeter;
    private final UpstreamProtocol protocol;
    private final UpstreamClient client;
    private final MillisClock clock;
    private final DecisionLog log;
    private final String entryName;
    private final Map<String, EntryStatus> peerStatuses = new HashMap<>();
    private final Map<String, Long> switchingUntilMillis = new HashMap<>();
    private final Map<String, Stage> orderedStages = new HashMap<>();
    private final Map<String, RateHistory> rateHistories = new HashMap<>();
    private long lastOrderMillis = Long.MIN_VALUE / 2;

    /**
     * Creates the order issuer of one entry.
     *
     * @param leadership decides whether this entry may issue orders, and with which fencing token
     * @param fleet routes and registered instances
     * @param pool statistics of instances; informed of the instances that are switching
     * @param demandMeter demand of the callers of this entry
     * @param protocol encodes orders and decodes their results
     * @param client sends orders
     * @param clock monotonic time
     * @param log receives one line for each order and each result
     * @param entryName name of this entry, sent with each order
     */
    public StageOrders(
            OrderLeadership leadership,
            FleetState fleet,
            InstancePool pool,
            DemandMeter demandMeter,
            UpstreamProtocol protocol,
            UpstreamClient client,
            MillisClock clock,
            DecisionLog log,
            String entryName) {
        this.leadership = leadership;
        this.fleet = fleet;
        this.pool = pool;
        this.demandMeter = demandMeter;
        this.protocol = protocol;
        this.client = client;
        this.clock = clock;
        this.log = log;
        this.entryName = entryName;
    }

    /**
     * Records the status of another entry. Instances that the peer reports as switching are treated as switching here.
     *
     * @param status latest status of the peer
     */
    public void onStatus(EntryStatus status) {
        peerStatuses.put(status.address(), status);
        leadership.recordPeerToken(status.highestFencingToken());
        status.switching().forEach(instance -> {
            if (!switchingUntilMillis.containsKey(instance)) {
                switching(instance, FINISH_RUNNING_MILLIS);
            }
        });
    }

    /**
     * Removes the status of another entry.
     *
     * @param address peer address of the entry
     */
    public void removePeer(String address) {
        peerStatuses.remove(address);
    }

    /**
     * Returns the instances that were ordered to change their stage and are not available again.
     *
     * @return identifiers of the instances; a copy
     */
    public List<String> switching() {
        return List.copyOf(switchingUntilMillis.keySet());
    }

    /**
     * Returns the highest fencing token known to this entry.
     *
     * @return the token, or 0 if none is known
     */
    public long highestFencingToken() {
        return leadership.highestFencingToken();
    }

    /**
     * Issues an order if this entry may issue orders and a change of stage is due. Call several times a second.
     *
     * @param knownEntries number of other known entries, reachable or not
     * @param fencingTerm number that rises with the position of the configuration store, the start of the fencing token
     */
    public void issueIfDue(int knownEntries, long fencingTerm) {
        removeFinishedSwitches();
        boolean mayIssue = leadership.mayIssueOrders(peerStatuses.keySet(), knownEntries, fencingTerm);
        if (!mayIssue) {
            rateHistories.clear();
            return;
        }
        if (clock.monotonicMillis() - lastOrderMillis < MINIMUM_ORDER_INTERVAL_MILLIS) {
            return;
        }
        fleet.routes().ifPresent(routes -> routes.services().values().forEach(this::issueIfDue));
    }

    private void issueIfDue(UpstreamService service) {
        if (service.engine().isEmpty()) {
            return;
        }
        StagePlan.View view = planView(service.name());
        StagePlan.next(view)
                .ifPresent(change -> issueOrder(change, view, service.engine().get()));
    }

    /**
     * Builds the input of the plan. Entries that have not completed a measurement window are assumed to have the
     * average demand of the others.
     */
    private StagePlan.View planView(String service) {
        List<UpstreamInstance> usable = fleet.instances(service).stream()
                .filter(instance -> !instance.leaving() && pool.notices().mayReceive(instance))
                .map(this::withOrderedStage)
                .toList();
        List<EntryStatus.ServiceDemand> demands = new ArrayList<>();
        findDemand(demandMeter.demands(), service).ifPresent(demands::add);
        peerStatuses
                .values()
                .forEach(status -> findDemand(status.demands(), service).ifPresent(demands::add));
        double measuredPromptTokens = demands.stream()
                .mapToInt(EntryStatus.ServiceDemand::promptTokens)
                .sum();
        int requestsWithoutCapacity = demands.stream()
                .mapToInt(EntryStatus.ServiceDemand::requestsWithoutCapacity)
                .sum();
        double estimatedPromptTokens =
                demands.isEmpty() ? 0 : measuredPromptTokens * (peerStatuses.size() + 1) / demands.size();
        RateHistory rates = rateHistories.computeIfAbsent(service, ignored -> new RateHistory(clock));
        rates.add(estimatedPromptTokens / DemandMeter.WINDOW_MILLIS);
        return new StagePlan.View(
                usable, rates.stableMaximum(), rates.minimum(), pool.prefillTokensPerMilli(), requestsWithoutCapacity);
    }

    /** Returns the instance with the stage that it was ordered to change to, so that an order is not issued twice. */
    private UpstreamInstance withOrderedStage(UpstreamInstance instance) {
        return Optional.ofNullable(orderedStages.get(instance.identifier()))
                .map(instance::withStage)
                .orElse(instance);
    }

    private static Optional<EntryStatus.ServiceDemand> findDemand(
            List<EntryStatus.ServiceDemand> demands, String service) {
        return demands.stream()
                .filter(demand -> demand.service().equals(service))
                .findFirst();
    }

    private void issueOrder(StagePlan.Change change, StagePlan.View view, EngineLimits limits) {
        UpstreamInstance instance = change.instance();
        lastOrderMillis = clock.monotonicMillis();
        switching(instance.identifier(), limits.switchMillis() + FINISH_RUNNING_MILLIS);
        orderedStages.put(instance.identifier(), change.stage());
        log.line("order")
                .with("instance", instance.identifier())
                .with("stage", change.stage().name())
                .with("fence", leadership.fencingToken())
                .with("promptTokensPerSecond", Math.round(view.highestPromptRate() * 1_000))
                .with("prefillTokensPerSecond", Math.round(view.prefillTokensPerMilli() * 1_000))
                .with("requestsWithoutCapacity", view.requestsWithoutCapacity())
                .write();
        HttpRequest request = protocol.order(instance, change.stage(), entryName, leadership.fencingToken())
                .withTimeouts(RESPONSE_TIMEOUT_MILLIS, RESPONSE_TIMEOUT_MILLIS)
                .withConnectionUse(ConnectionUse.FRESH);
        client.execute(instance, request, result -> onOrderResponse(instance, result));
    }

    private void onOrderResponse(UpstreamInstance instance, Either<Failure, HttpResponse> result) {
        OrderAnswer orderResult = result.fold(failure -> OrderAnswer.UNKNOWN, protocol::readOrder);
        log.line("order answered")
                .with("instance", instance.identifier())
                .with("answer", orderResult.name())
                .write();
        switch (orderResult) {
            case FENCED -> {
                leadership.tokenRejected();
                clearOrder(instance);
            }
            case DECLINED -> clearOrder(instance);
            case ACCEPTED, UNKNOWN -> {}
        }
    }

    private void clearOrder(UpstreamInstance instance) {
        switchingUntilMillis.remove(instance.identifier());
        orderedStages.remove(instance.identifier());
    }

    private void switching(String instance, long durationMillis) {
        switchingUntilMillis.put(instance, clock.monotonicMillis() + durationMillis);
        pool.switching(switchingUntilMillis.keySet());
    }

    private void removeFinishedSwitches() {
        long now = clock.monotonicMillis();
        switchingUntilMillis.entrySet().removeIf(entry -> entry.getValue() < now);
        orderedStages.keySet().retainAll(switchingUntilMillis.keySet());
        pool.switching(switchingUntilMillis.keySet());
    }
}
