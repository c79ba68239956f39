package org.merlinwood.entry.dispatch;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.inventory.Model;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.decision.admission.Admission;
import org.merlinwood.decision.admission.AdmissionDecision;
import org.merlinwood.decision.admission.AdmissionQuery;
import org.merlinwood.decision.admission.TransferTimeEstimate;
import org.merlinwood.decision.fairness.CallerShares;
import org.merlinwood.decision.grant.GrantDemand;
import org.merlinwood.decision.idempotency.KeyHomes;
import org.merlinwood.decision.placement.LoadObservation;
import org.merlinwood.decision.placement.PlacementForecast;
import org.merlinwood.decision.placement.PlacementQuery;
import org.merlinwood.decision.placement.UpstreamPool;
import org.merlinwood.decision.prefix.PrefixBlocks;
import org.merlinwood.decision.retry.RetryBudget;
import org.merlinwood.decision.retry.RetryDelay;
import org.merlinwood.entry.request.ClassifiedRequest;
import org.merlinwood.entry.request.IdentifiedRequest;
import org.merlinwood.following.ActiveConfiguration;
import org.merlinwood.wire.Load;

/**
 * Soft state of one entry: pools, budget for repeated attempts, shares of callers. Lives from the first configuration
 * to the end of the process. Not thread-safe: used by the control thread only.
 */
final class ControlState {

    /** How long an instance is left out that could not be reached. */
    static final long UNREACHABLE_MILLIS = 1_000;

    /** How long an instance is left out that drains. */
    static final long DRAINING_MILLIS = 5_000;

    /** How long a refusal for lack of capacity counts as contention. */
    static final long CONTENTION_MILLIS = 1_000;

    private final InstanceName self;
    private final FailureDomain failureDomain;
    private final MillisClock clock;
    private final RetryDelay retryDelay;
    private final RetryBudget retryBudget;
    private final CallerShares shares;
    private final Admission admission;
    private final Map<PoolName, UpstreamPool> pools = new HashMap<>();
    private final TransferTimeEstimate transferRate = new TransferTimeEstimate();
    private ActiveConfiguration configuration;
    private KeyHomes keyHomes;
    private long contendedUntilMillis;

    // ------------------------------------------------------------------ life-cycle

    ControlState(InstanceName self, FailureDomain failureDomain, MillisClock clock, ActiveConfiguration configuration) {
        this.self = self;
        this.failureDomain = failureDomain;
        this.clock = clock;
        this.configuration = configuration;
        this.keyHomes = KeyHomes.of(configuration.inventory());
        this.retryDelay = new RetryDelay(RandomSource.XO_RO_SHI_RO_128_PP.create());
        this.retryBudget = new RetryBudget(configuration.rules().limits().retryBudgetPercent());
        this.shares = new CallerShares(retryDelay);
        this.admission = new Admission(retryDelay);
        this.contendedUntilMillis = clock.monotonicMillis();
    }

    void configure(ActiveConfiguration changed) {
        configuration = changed;
        keyHomes = KeyHomes.of(changed.inventory());
        retryBudget.setPercent(changed.rules().limits().retryBudgetPercent());
        pools.replaceAll((name, pool) -> pool.withInventory(changed.inventory()));
    }

    // ------------------------------------------------------------------ public API

    ActiveConfiguration configuration() {
        return configuration;
    }

    Inventory inventory() {
        return configuration.inventory();
    }

    KeyHomes keyHomes() {
        return keyHomes;
    }

    RetryBudget retryBudget() {
        return retryBudget;
    }

    RetryDelay retryDelay() {
        return retryDelay;
    }

    Either<Failure, Integer> enter(IdentifiedRequest request) {
        boolean contended = clock.monotonicMillis() < contendedUntilMillis;
        return shares.tryAcquire(request.caller(), request.callerClass(), contended);
    }

    void leave(IdentifiedRequest request) {
        shares.release(request.caller());
    }

    AdmissionDecision admit(ClassifiedRequest.ModelRequest call) {
        Optional<PlacementForecast> decode = pool(call, InstanceRole.DECODE).forecast(query(call, InstanceRole.DECODE));
        Optional<PlacementForecast> prefill =
                pool(call, InstanceRole.PREFILL).forecast(query(call, InstanceRole.PREFILL));
        if (decode.isEmpty() || prefill.isEmpty()) {
            return new AdmissionDecision.Refuse(noInstance(call));
        }
        long nowMillis = clock.monotonicMillis();
        IdentifiedRequest request = call.identified();
        AdmissionDecision decision = admission.decide(new AdmissionQuery(
                request.callerClass(),
                call.service(),
                decode.get(),
                prefill.get(),
                transferMillis(call),
                nowMillis - request.accepted().arrivedMillis(),
                request.deadlineMillis() - nowMillis));
        if (decision instanceof AdmissionDecision.Refuse) {
            contendedUntilMillis = nowMillis + CONTENTION_MILLIS;
        }
        return decision;
    }

    /**
     * Returns how long a grant may be waited for that a request asks for now: the target for its first token, less what
     * is predicted to come after the grant. Not negative.
     */
    long grantWaitMillis(ClassifiedRequest.ModelRequest call, InstanceRole role) {
        PlacementForecast prefill = pool(call, InstanceRole.PREFILL)
                .forecast(query(call, InstanceRole.PREFILL))
                .orElse(PlacementForecast.IMMEDIATE);
        long workMillis = prefill.serviceMillis() + transferMillis(call);
        if (role == InstanceRole.DECODE) {
            workMillis += prefill.waitMillis();
        }
        IdentifiedRequest request = call.identified();
        double allowedMillis = request.callerClass().firstTokenTargetMillis() * Admission.targetShare(call.service());
        long untilMillis = request.accepted().arrivedMillis() + Math.round(allowedMillis) - workMillis;
        return Math.max(0, untilMillis - clock.monotonicMillis());
    }

    Optional<Instance> choose(ClassifiedRequest call, InstanceRole role, Set<InstanceName> excluded) {
        return pool(call, role).choose(query(call, role), excluded);
    }

    void recordStart(ClassifiedRequest call, InstanceRole role, InstanceName name) {
        pool(call, role).recordStart(name, pieces(call, role));
    }

    void recordEnd(ClassifiedRequest call, InstanceRole role, InstanceName name) {
        pool(call, role).recordEnd(name, pieces(call, role));
    }

    void observe(ClassifiedRequest call, InstanceRole role, InstanceName name, Load load) {
        LoadObservation observation = new LoadObservation(
                load.getFreePieces(),
                load.getTotalPieces(),
                load.getRunning(),
                load.getQueued(),
                load.getExpectedWaitMillis(),
                load.getQueuedTokens(),
                load.getDraining());
        pool(call, role).observe(name, observation, clock.monotonicMillis());
    }

    /** Learns where the prefixes of a prompt are cached now, and how fast its prefill was. */
    void recordPrefill(ClassifiedRequest.ModelRequest call, InstanceName name, long computedTokens, long millis) {
        pool(call, InstanceRole.PREFILL)
                .recordPrefill(name, call.blocks(), computedTokens, millis, clock.monotonicMillis());
    }

    /** Learns how long a KV cache took from the end of its prefill to the first token. */
    void recordTransfer(long bytes, long millis) {
        transferRate.observe(bytes, millis);
    }

    /** Learns from a refusal, or from an attempt that was lost and did not only lose its connection. */
    void recordFailure(ClassifiedRequest call, InstanceRole role, InstanceName name, Failure failure) {
        long nowMillis = clock.monotonicMillis();
        switch (failure.code()) {
            case DRAINING -> pool(call, role).avoid(name, nowMillis + DRAINING_MILLIS);
            case UPSTREAM_UNREACHABLE, PEER_SILENT, AUTHENTICATION_FAILED ->
                pool(call, role).avoid(name, nowMillis + UNREACHABLE_MILLIS);
            case NO_CAPACITY -> contendedUntilMillis = nowMillis + CONTENTION_MILLIS;
            default -> {}
        }
    }

    List<PoolState> pools() {
        return pools.entrySet().stream()
                .map(entry -> new PoolState(
                        entry.getKey().service().value(),
                        entry.getKey().role().name(),
                        entry.getKey().model().map(ModelName::value).orElse(""),
                        entry.getValue().candidates().stream()
                                .map(InstanceName::value)
                                .toList()))
                .toList();
    }

    int activeCallers() {
        return shares.activeCallers();
    }

    // ------------------------------------------------------------------ internals

    private Failure noInstance(ClassifiedRequest call) {
        long retryAfterMillis = retryDelay.retryAfterMillis(
                UNREACHABLE_MILLIS, call.identified().callerClass().priority());
        return Failure.retryable(
                ResultCode.NO_INSTANCE, "no instance of the service may be used now", retryAfterMillis);
    }

    private long transferMillis(ClassifiedRequest.ModelRequest call) {
        long bytesPerToken =
                inventory().model(call.model()).map(Model::cacheBytesPerToken).orElse(0L);
        return transferRate.millis(bytesPerToken * call.promptTokens());
    }

    private UpstreamPool pool(ClassifiedRequest call, InstanceRole role) {
        PoolName name = new PoolName(call.service().name(), role, call.modelName());
        return pools.computeIfAbsent(
                name,
                absent -> UpstreamPool.of(
                        inventory(), absent.service(), absent.role(), absent.model(), self, failureDomain));
    }

    private PlacementQuery query(ClassifiedRequest call, InstanceRole role) {
        long nowMillis = clock.monotonicMillis();
        int priority = call.identified().callerClass().priority();
        return switch (call) {
            case ClassifiedRequest.ModelRequest model ->
                new PlacementQuery(pieces(model, role), model.promptTokens(), model.blocks(), nowMillis, priority);
            case ClassifiedRequest.PlainRequest plain -> plainQuery(nowMillis, priority);
            case ClassifiedRequest.MintRequest mint -> plainQuery(nowMillis, priority);
        };
    }

    private static PlacementQuery plainQuery(long nowMillis, int priority) {
        return new PlacementQuery(1, 0, PrefixBlocks.NONE, nowMillis, priority);
    }

    /** A prefill takes memory for the prompt, a decode for the answer as well. */
    private static int pieces(ClassifiedRequest call, InstanceRole role) {
        if (!(call instanceof ClassifiedRequest.ModelRequest model)) {
            return 1;
        }
        return role == InstanceRole.PREFILL ? GrantDemand.piecesOf(model.promptTokens()) : model.pieces();
    }

    /** Tells pools apart. */
    private record PoolName(ServiceName service, InstanceRole role, Optional<ModelName> model) {}

    /**
     * One pool, for the dump.
     *
     * @param service the service
     * @param role the role
     * @param model the model, empty for plain services
     * @param candidates names of the instances that this entry uses
     */
    record PoolState(String service, String role, String model, List<String> candidates) {}
}
