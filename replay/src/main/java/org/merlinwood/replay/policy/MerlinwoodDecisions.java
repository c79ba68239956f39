package org.merlinwood.replay.policy;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.rules.ServiceKind;
import org.merlinwood.configuration.rules.ServiceRule;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.decision.admission.Admission;
import org.merlinwood.decision.admission.AdmissionDecision;
import org.merlinwood.decision.admission.AdmissionQuery;
import org.merlinwood.decision.admission.TransferTimeEstimate;
import org.merlinwood.decision.fairness.CallerShares;
import org.merlinwood.decision.placement.LoadObservation;
import org.merlinwood.decision.placement.PlacementForecast;
import org.merlinwood.decision.placement.PlacementQuery;
import org.merlinwood.decision.placement.UpstreamPool;
import org.merlinwood.decision.prefix.PrefixBlocks;
import org.merlinwood.decision.retry.RetryBudget;
import org.merlinwood.decision.retry.RetryDelay;
import org.merlinwood.replay.fake.VirtualTime;
import org.merlinwood.replay.trace.TraceHeader;

/** The decision code of the product, called as an entry calls it. Not thread-safe. */
public final class MerlinwoodDecisions implements RoutingDecisions {

    private static final long AVOID_MILLIS = 5_000;
    private static final long CONTENTION_MILLIS = 1_000;

    private final VirtualTime time;
    private final TraceHeader header;
    private final ServiceRule service;
    private final UpstreamPool prefillPool;
    private final UpstreamPool decodePool;
    private final UpstreamPool plainPool;
    private final RetryDelay retryDelay;
    private final Admission admission;
    private final CallerShares shares;
    private final RetryBudget budget;
    private final TransferTimeEstimate transferTimeEstimate = new TransferTimeEstimate();
    private long contendedUntilMillis = Long.MIN_VALUE;

    /**
     * Creates the decisions of one entry.
     *
     * @param time virtual time
     * @param header header of the trace, with fleet and rules
     * @param inventory the inventory
     * @param entry index of the entry
     * @param random seeded random number generator
     */
    public MerlinwoodDecisions(
            VirtualTime time, TraceHeader header, Inventory inventory, int entry, UniformRandomProvider random) {
        this.time = time;
        this.header = header;
        this.service = new ServiceRule(
                FleetFakes.MODEL_SERVICE,
                ServiceKind.MODEL,
                header.goodputWeight(),
                header.wastedPrefillWeight(),
                header.callers().patienceMillis());
        this.prefillPool = pool(inventory, InstanceRole.PREFILL, entry);
        this.decodePool = pool(inventory, InstanceRole.DECODE, entry);
        this.plainPool = pool(inventory, InstanceRole.PLAIN, entry);
        this.retryDelay = new RetryDelay(random);
        this.admission = new Admission(retryDelay);
        this.shares = new CallerShares(retryDelay);
        this.budget = new RetryBudget(header.retryBudgetPercent());
    }

    private UpstreamPool pool(Inventory inventory, InstanceRole role, int entry) {
        boolean plain = role == InstanceRole.PLAIN;
        String domain = header.fleet()
                .failureDomains()
                .get(entry % header.fleet().failureDomains().size());
        return UpstreamPool.of(
                inventory,
                plain ? FleetFakes.PLAIN_SERVICE : FleetFakes.MODEL_SERVICE,
                role,
                plain ? Optional.empty() : Optional.of(FleetFakes.MODEL),
                new InstanceName("entry-" + entry),
                new FailureDomain(domain));
    }

    @Override
    public boolean reservesDecodeFirst() {
        return true;
    }

    @Override
    public boolean resumesStreams() {
        return true;
    }

    @Override
    public Optional<Long> refusal(ModelAttempt attempt) {
        budget.firstAttempt();
        boolean contended = time.monotonicMillis() < contendedUntilMillis;
        CallerName caller = new CallerName(attempt.request().caller());
        return shares.tryAcquire(caller, attempt.callerClass(), contended)
                .fold(failure -> Optional.of(failure.retryAfterMillis()), open -> admissionRefusal(attempt, caller));
    }

    @Override
    public void recordEnd(ModelAttempt attempt) {
        shares.release(new CallerName(attempt.request().caller()));
    }

    @Override
    public Optional<Instance> choose(InstanceRole role, ModelAttempt attempt, Set<InstanceName> excluded) {
        return pool(role).choose(query(role, attempt), excluded);
    }

    @Override
    public Optional<Instance> choosePlain(Set<InstanceName> excluded) {
        return plainPool.choose(new PlacementQuery(1, 0, PrefixBlocks.NONE, time.monotonicMillis(), 0), excluded);
    }

    @Override
    public long latestStartMicros(InstanceRole role, ModelAttempt attempt) {
        PlacementForecast prefill =
                prefillPool.forecast(query(InstanceRole.PREFILL, attempt)).orElse(PlacementForecast.IMMEDIATE);
        long workMillis = prefill.serviceMillis() + transferMillis(attempt);
        if (role == InstanceRole.DECODE) {
            workMillis += prefill.waitMillis();
        }
        return firstTokenDeadlineMicros(attempt) - TimeUnit.MILLISECONDS.toMicros(workMillis);
    }

    @Override
    public boolean mayRetry() {
        return budget.tryRetry();
    }

    @Override
    public long retryAfterMillis(LoadObservation load, ModelAttempt attempt) {
        contendedUntilMillis = time.monotonicMillis() + CONTENTION_MILLIS;
        return retryDelay.retryAfterMillis(
                load.expectedWaitMillis(), attempt.callerClass().priority());
    }

    @Override
    public void recordStart(InstanceRole role, InstanceName name, int pieces) {
        pool(role).recordStart(name, pieces);
    }

    @Override
    public void recordEnd(InstanceRole role, InstanceName name, int pieces) {
        pool(role).recordEnd(name, pieces);
    }

    @Override
    public void observe(InstanceRole role, InstanceName name, LoadObservation load) {
        pool(role).observe(name, load, time.monotonicMillis());
    }

    @Override
    public void markUnreachable(InstanceRole role, InstanceName name) {
        pool(role).avoid(name, time.monotonicMillis() + AVOID_MILLIS);
    }

    @Override
    public void recordTransfer(long bytes, long millis) {
        transferTimeEstimate.observe(bytes, millis);
    }

    @Override
    public void recordPrefill(InstanceName name, ModelAttempt attempt, long computedTokens, long millis) {
        prefillPool.recordPrefill(name, attempt.blocks(), computedTokens, millis, time.monotonicMillis());
    }

    @Override
    public void recordCached(InstanceName name, PrefixBlocks blocks) {
        prefillPool.recordCached(name, blocks, time.monotonicMillis());
    }

    private Optional<Long> admissionRefusal(ModelAttempt attempt, CallerName caller) {
        Optional<PlacementForecast> decode = decodePool.forecast(query(InstanceRole.DECODE, attempt));
        Optional<PlacementForecast> prefill = prefillPool.forecast(query(InstanceRole.PREFILL, attempt));
        if (decode.isEmpty() || prefill.isEmpty()) {
            shares.release(caller);
            return Optional.of(retryDelay.retryAfterMillis(
                    AVOID_MILLIS, attempt.callerClass().priority()));
        }
        AdmissionQuery query = new AdmissionQuery(
                attempt.callerClass(),
                service,
                decode.get(),
                prefill.get(),
                transferMillis(attempt),
                TimeUnit.MICROSECONDS.toMillis(time.nowMicros() - attempt.sentMicros()),
                header.callers().patienceMillis());
        return switch (admission.decide(query)) {
            case AdmissionDecision.Admit admit -> Optional.empty();
            case AdmissionDecision.Refuse refuse -> {
                shares.release(caller);
                contendedUntilMillis = time.monotonicMillis() + CONTENTION_MILLIS;
                yield Optional.of(refuse.failure().retryAfterMillis());
            }
        };
    }

    private long firstTokenDeadlineMicros(ModelAttempt attempt) {
        if (attempt.hasTokens()) {
            return time.nowMicros()
                    + TimeUnit.MILLISECONDS.toMicros(header.callers().patienceMillis());
        }
        double targetMillis = attempt.callerClass().firstTokenTargetMillis() * Admission.targetShare(service);
        return attempt.sentMicros() + Math.round(targetMillis * TimeUnit.MILLISECONDS.toMicros(1));
    }

    private long transferMillis(ModelAttempt attempt) {
        return transferTimeEstimate.millis(
                attempt.promptTokens() * header.fleet().link().bytesPerToken());
    }

    private PlacementQuery query(InstanceRole role, ModelAttempt attempt) {
        int pieces = role == InstanceRole.DECODE ? attempt.decodePieces() : attempt.prefillPieces();
        int priority = attempt.callerClass().priority();
        return new PlacementQuery(pieces, attempt.promptTokens(), attempt.blocks(), time.monotonicMillis(), priority);
    }

    private UpstreamPool pool(InstanceRole role) {
        return switch (role) {
            case PREFILL -> prefillPool;
            case DECODE -> decodePool;
            case PLAIN, ENTRY -> plainPool;
        };
    }
}
