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

/** The product's decisions, driven as an entry drives them. */
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
    private final TransferTimeEstimate transferRate = new TransferTimeEstimate();
    private long contendedUntilMillis = Long.MIN_VALUE;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates the decisions of one entry.
     *
     * @param time virtual time
     * @param header fleet and rules
     * @param inventory the inventory
     * @param entry number of the entry
     * @param random seeded random numbers
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

    // ------------------------------------------------------------------ public API

    @Override
    public boolean reservesDecodeFirst() {
        return true;
    }

    @Override
    public boolean resumesStreams() {
        return true;
    }

    @Override
    public Optional<Long> refusal(ModelRun run) {
        budget.firstAttempt();
        boolean contended = time.monotonicMillis() < contendedUntilMillis;
        CallerName caller = new CallerName(run.request().caller());
        return shares.tryAcquire(caller, run.callerClass(), contended)
                .fold(failure -> Optional.of(failure.retryAfterMillis()), open -> admissionRefusal(run, caller));
    }

    @Override
    public void ended(ModelRun run) {
        shares.release(new CallerName(run.request().caller()));
    }

    @Override
    public Optional<Instance> choose(InstanceRole role, ModelRun run, Set<InstanceName> excluded) {
        return pool(role).choose(query(role, run), excluded);
    }

    @Override
    public Optional<Instance> choosePlain(Set<InstanceName> excluded) {
        return plainPool.choose(new PlacementQuery(1, 0, PrefixBlocks.NONE, time.monotonicMillis(), 0), excluded);
    }

    @Override
    public long latestStartMicros(InstanceRole role, ModelRun run) {
        PlacementForecast prefill =
                prefillPool.forecast(query(InstanceRole.PREFILL, run)).orElse(PlacementForecast.IMMEDIATE);
        long workMillis = prefill.serviceMillis() + transferMillis(run);
        if (role == InstanceRole.DECODE) {
            workMillis += prefill.waitMillis();
        }
        return allowedMicros(run) - TimeUnit.MILLISECONDS.toMicros(workMillis);
    }

    @Override
    public boolean mayRetry() {
        return budget.tryRetry();
    }

    @Override
    public long comeBackMillis(LoadObservation load, ModelRun run) {
        contendedUntilMillis = time.monotonicMillis() + CONTENTION_MILLIS;
        return retryDelay.retryAfterMillis(
                load.expectedWaitMillis(), run.callerClass().priority());
    }

    @Override
    public void started(InstanceRole role, InstanceName name, int pieces) {
        pool(role).recordStart(name, pieces);
    }

    @Override
    public void ended(InstanceRole role, InstanceName name, int pieces) {
        pool(role).recordEnd(name, pieces);
    }

    @Override
    public void observe(InstanceRole role, InstanceName name, LoadObservation load) {
        pool(role).observe(name, load, time.monotonicMillis());
    }

    @Override
    public void unreachable(InstanceRole role, InstanceName name) {
        pool(role).avoid(name, time.monotonicMillis() + AVOID_MILLIS);
    }

    @Override
    public void transferred(long bytes, long millis) {
        transferRate.observe(bytes, millis);
    }

    @Override
    public void prefilled(InstanceName name, ModelRun run, long computedTokens, long millis) {
        prefillPool.recordPrefill(name, run.blocks(), computedTokens, millis, time.monotonicMillis());
    }

    @Override
    public void cached(InstanceName name, PrefixBlocks blocks) {
        prefillPool.recordCached(name, blocks, time.monotonicMillis());
    }

    // ------------------------------------------------------------------ internals

    private Optional<Long> admissionRefusal(ModelRun run, CallerName caller) {
        Optional<PlacementForecast> decode = decodePool.forecast(query(InstanceRole.DECODE, run));
        Optional<PlacementForecast> prefill = prefillPool.forecast(query(InstanceRole.PREFILL, run));
        if (decode.isEmpty() || prefill.isEmpty()) {
            shares.release(caller);
            return Optional.of(
                    retryDelay.retryAfterMillis(AVOID_MILLIS, run.callerClass().priority()));
        }
        AdmissionQuery query = new AdmissionQuery(
                run.callerClass(),
                service,
                decode.get(),
                prefill.get(),
                transferMillis(run),
                TimeUnit.MICROSECONDS.toMillis(time.nowMicros() - run.sentMicros()),
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

    private long allowedMicros(ModelRun run) {
        if (run.hasTokens()) {
            return time.nowMicros()
                    + TimeUnit.MILLISECONDS.toMicros(header.callers().patienceMillis());
        }
        double targetMillis = run.callerClass().firstTokenTargetMillis() * Admission.targetShare(service);
        return run.sentMicros() + Math.round(targetMillis * TimeUnit.MILLISECONDS.toMicros(1));
    }

    private long transferMillis(ModelRun run) {
        return transferRate.millis(run.promptTokens() * header.fleet().link().bytesPerToken());
    }

    private PlacementQuery query(InstanceRole role, ModelRun run) {
        int pieces = role == InstanceRole.DECODE ? run.decodePieces() : run.prefillPieces();
        int priority = run.callerClass().priority();
        return new PlacementQuery(pieces, run.promptTokens(), run.blocks(), time.monotonicMillis(), priority);
    }

    private UpstreamPool pool(InstanceRole role) {
        return switch (role) {
            case PREFILL -> prefillPool;
            case DECODE -> decodePool;
            case PLAIN, ENTRY -> plainPool;
        };
    }
}
