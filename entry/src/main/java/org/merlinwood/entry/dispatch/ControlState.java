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
 * Soft state of an entry: instance pools, retry budget and caller shares. Exists from the first configuration to the
 * end of the process. Not thread-safe: used by the control thread only.
 */
final class ControlState {

    /** How long an unreachable instance is excluded from placement. */
    static final long UNREACHABLE_EXCLUSION_MILLIS = 1_000;

    /** How long a draining instance is excluded from placement. */
    static final long DRAINING_EXCLUSION_MILLIS = 5_000;

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
    private final TransferTimeEstimate transferTimeEstimate = new TransferTimeEstimate();
    private ActiveConfiguration configuration;
    private KeyHomes keyHomes;
    private long contendedUntilMillis;

    // ------------------------------------------------------------------ life-cycle

    /** Creates the state of an entry that has served no request. */
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

    /** Activates a later configuration. Observed load and open requests are kept. */
    void configure(ActiveConfiguration changed) {
        configuration = changed;
        keyHomes = KeyHomes.of(changed.inventory());
        retryBudget.setPercent(changed.rules().limits().retryBudgetPercent());
        pools.replaceAll((name, pool) -> pool.withInventory(changed.inventory()));
    }

    // ------------------------------------------------------------------ public API

    /** Returns the active inventory and rules. */
    ActiveConfiguration configuration() {
        return configuration;
    }

    /** Returns the active inventory. */
    Inventory inventory() {
        return configuration.inventory();
    }

    /** Returns the homes of callers' own keys under the active inventory. */
    KeyHomes keyHomes() {
        return keyHomes;
    }

    /** Returns the retry budget of all requests of this entry. */
    RetryBudget retryBudget() {
        return retryBudget;
    }

    /** Returns the choice of times after which refused callers may retry. */
    RetryDelay retryDelay() {
        return retryDelay;
    }

    /**
     * Counts a request as open, within the limits of its caller.
     *
     * @return the caller's open requests including this one, or the refusal; a refused request must not be released
     */
    Either<Failure, Integer> tryAcquire(IdentifiedRequest identified) {
        boolean isContended = clock.monotonicMillis() < contendedUntilMillis;
        return shares.tryAcquire(identified.caller(), identified.callerClass(), isContended);
    }

    /** Ends a request that was acquired. */
    void release(IdentifiedRequest identified) {
        shares.release(identified.caller());
    }

    /** Decides whether the first token of a request can be expected in time. Reserves nothing. */
    AdmissionDecision admit(ClassifiedRequest.ModelRequest request) {
        Optional<PlacementForecast> decode =
                pool(request, InstanceRole.DECODE).forecast(query(request, InstanceRole.DECODE));
        Optional<PlacementForecast> prefill =
                pool(request, InstanceRole.PREFILL).forecast(query(request, InstanceRole.PREFILL));
        if (decode.isEmpty() || prefill.isEmpty()) {
            return new AdmissionDecision.Refuse(noInstance(request));
        }
        long nowMillis = clock.monotonicMillis();
        IdentifiedRequest identified = request.identified();
        AdmissionDecision decision = admission.decide(new AdmissionQuery(
                identified.callerClass(),
                request.service(),
                decode.get(),
                prefill.get(),
                transferMillis(request),
                nowMillis - identified.accepted().arrivedMillis(),
                identified.deadlineMillis() - nowMillis));
        if (decision instanceof AdmissionDecision.Refuse) {
            contendedUntilMillis = nowMillis + CONTENTION_MILLIS;
        }
        return decision;
    }

    /**
     * Returns how long a grant requested now may wait: the time left until the first-token target, minus the predicted
     * time of the steps after the grant. Not negative.
     */
    long grantWaitMillis(ClassifiedRequest.ModelRequest request, InstanceRole role) {
        PlacementForecast prefill = pool(request, InstanceRole.PREFILL)
                .forecast(query(request, InstanceRole.PREFILL))
                .orElse(PlacementForecast.IMMEDIATE);
        long workMillis = prefill.serviceMillis() + transferMillis(request);
        if (role == InstanceRole.DECODE) {
            workMillis += prefill.waitMillis();
        }
        IdentifiedRequest identified = request.identified();
        double allowedMillis =
                identified.callerClass().firstTokenTargetMillis() * Admission.targetShare(request.service());
        long untilMillis = identified.accepted().arrivedMillis() + Math.round(allowedMillis) - workMillis;
        return Math.max(0, untilMillis - clock.monotonicMillis());
    }

    /** Chooses an instance for an attempt, empty if none is eligible. Records nothing. */
    Optional<Instance> choose(ClassifiedRequest request, InstanceRole role, Set<InstanceName> excluded) {
        return pool(request, role).choose(query(request, role), excluded);
    }

    /** Records an attempt that is sent to an instance. */
    void recordStart(ClassifiedRequest request, InstanceRole role, InstanceName name) {
        pool(request, role).recordStart(name, pieces(request, role));
    }

    /** Records that an attempt ended, was refused or was cancelled. Called once for each {@link #recordStart}. */
    void recordEnd(ClassifiedRequest request, InstanceRole role, InstanceName name) {
        pool(request, role).recordEnd(name, pieces(request, role));
    }

    /** Records a load that a sidecar reported with a grant, a refusal or a response. */
    void observe(ClassifiedRequest request, InstanceRole role, InstanceName name, Load load) {
        LoadObservation observation = new LoadObservation(
                load.getFreePieces(),
                load.getTotalPieces(),
                load.getRunning(),
                load.getQueued(),
                load.getExpectedWaitMillis(),
                load.getQueuedTokens(),
                load.getDraining());
        pool(request, role).observe(name, observation, clock.monotonicMillis());
    }

    /** Records where the prefixes of a prompt are cached now, and the speed of its prefill. */
    void recordPrefill(ClassifiedRequest.ModelRequest request, InstanceName name, long computedTokens, long millis) {
        pool(request, InstanceRole.PREFILL)
                .recordPrefill(name, request.blocks(), computedTokens, millis, clock.monotonicMillis());
    }

    /** Records the time from the end of a prefill to the first token, as transfer time of its KV cache. */
    void recordTransfer(long bytes, long millis) {
        transferTimeEstimate.observe(bytes, millis);
    }

    /** Records a refusal, or an attempt that failed for another reason than a single closed connection. */
    void recordFailure(ClassifiedRequest request, InstanceRole role, InstanceName name, Failure failure) {
        long nowMillis = clock.monotonicMillis();
        switch (failure.code()) {
            case DRAINING -> pool(request, role).avoid(name, nowMillis + DRAINING_EXCLUSION_MILLIS);
            case UPSTREAM_UNREACHABLE, PEER_SILENT, AUTHENTICATION_FAILED ->
                pool(request, role).avoid(name, nowMillis + UNREACHABLE_EXCLUSION_MILLIS);
            case NO_CAPACITY -> contendedUntilMillis = nowMillis + CONTENTION_MILLIS;
            default -> {}
        }
    }

    /** Returns the pools that requests have used so far, for the state dump. */
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

    /** Returns the number of callers that have open requests. */
    int activeCallers() {
        return shares.activeCallers();
    }

    // ------------------------------------------------------------------ internals

    private Failure noInstance(ClassifiedRequest request) {
        long retryAfterMillis = retryDelay.retryAfterMillis(
                UNREACHABLE_EXCLUSION_MILLIS, request.identified().callerClass().priority());
        return Failure.retryable(ResultCode.NO_INSTANCE, "no instance of the service is available", retryAfterMillis);
    }

    private long transferMillis(ClassifiedRequest.ModelRequest request) {
        long bytesPerToken = inventory()
                .model(request.model())
                .map(Model::cacheBytesPerToken)
                .orElse(0L);
        return transferTimeEstimate.millis(bytesPerToken * request.promptTokens());
    }

    private UpstreamPool pool(ClassifiedRequest request, InstanceRole role) {
        PoolName name = new PoolName(request.service().name(), role, request.modelName());
        return pools.computeIfAbsent(
                name,
                missing -> UpstreamPool.of(
                        inventory(), missing.service(), missing.role(), missing.model(), self, failureDomain));
    }

    private PlacementQuery query(ClassifiedRequest request, InstanceRole role) {
        long nowMillis = clock.monotonicMillis();
        int priority = request.identified().callerClass().priority();
        return switch (request) {
            case ClassifiedRequest.ModelRequest model ->
                new PlacementQuery(pieces(model, role), model.promptTokens(), model.blocks(), nowMillis, priority);
            case ClassifiedRequest.PlainRequest plain -> plainQuery(nowMillis, priority);
            case ClassifiedRequest.MintRequest mint -> plainQuery(nowMillis, priority);
        };
    }

    private static PlacementQuery plainQuery(long nowMillis, int priority) {
        return new PlacementQuery(1, 0, PrefixBlocks.NONE, nowMillis, priority);
    }

    /** A prefill needs memory for the prompt only, a decode for prompt and response. */
    private static int pieces(ClassifiedRequest request, InstanceRole role) {
        if (!(request instanceof ClassifiedRequest.ModelRequest model)) {
            return 1;
        }
        return role == InstanceRole.PREFILL ? GrantDemand.piecesOf(model.promptTokens()) : model.pieces();
    }

    /** Key of a pool. */
    private record PoolName(ServiceName service, InstanceRole role, Optional<ModelName> model) {}

    /**
     * A pool, for the state dump.
     *
     * @param service name of the service
     * @param role role of the instances
     * @param model name of the model, empty for plain services
     * @param candidates names of the instances that this entry uses
     */
    record PoolState(String service, String role, String model, List<String> candidates) {}
}
