package org.merlinwood.replay.policy;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.decision.grant.GrantDemand;
import org.merlinwood.decision.placement.LoadObservation;
import org.merlinwood.decision.prefix.PrefixBlocks;
import org.merlinwood.replay.fake.VirtualTime;
import org.merlinwood.replay.trace.TraceHeader;

/**
 * The decisions of one entry under a baseline policy. The load of an instance is the larger of its reported load and
 * the entry's own work in progress there. Not thread-safe.
 */
public final class BaselineDecisions implements RoutingDecisions {

    private static final long AVOID_MILLIS = 5_000;

    private final VirtualTime time;
    private final TraceHeader header;
    private final FleetFakes fleet;
    private final PolicyName policy;
    private final Map<InstanceRole, Integer> turns = new EnumMap<>(InstanceRole.class);
    private final Map<InstanceName, Integer> ownPieces = new HashMap<>();
    private final Map<InstanceName, Long> avoidedUntilMillis = new HashMap<>();

    /**
     * Creates the decisions of one entry.
     *
     * @param time virtual time
     * @param header header of the trace, with fleet and rules
     * @param fleet the fakes, which report their load
     * @param policy the baseline
     * @param entry index of the entry, at which the rotation over the instances starts
     */
    public BaselineDecisions(VirtualTime time, TraceHeader header, FleetFakes fleet, PolicyName policy, int entry) {
        this.time = time;
        this.header = header;
        this.fleet = fleet;
        this.policy = policy;
        for (InstanceRole role : InstanceRole.values()) {
            turns.put(role, entry);
        }
    }

    @Override
    public boolean reservesDecodeFirst() {
        return policy != PolicyName.PREFILL_FIRST;
    }

    @Override
    public boolean resumesStreams() {
        return false;
    }

    @Override
    public Optional<Long> refusal(ModelAttempt attempt) {
        return Optional.empty();
    }

    @Override
    public void recordEnd(ModelAttempt attempt) {}

    @Override
    public Optional<Instance> choose(InstanceRole role, ModelAttempt attempt, Set<InstanceName> excluded) {
        return pick(role, excluded);
    }

    @Override
    public Optional<Instance> choosePlain(Set<InstanceName> excluded) {
        return pick(InstanceRole.PLAIN, excluded);
    }

    @Override
    public long latestStartMicros(InstanceRole role, ModelAttempt attempt) {
        return attempt.sentMicros()
                + TimeUnit.MILLISECONDS.toMicros(header.callers().patienceMillis());
    }

    @Override
    public boolean mayRetry() {
        return true;
    }

    @Override
    public long retryAfterMillis(LoadObservation load, ModelAttempt attempt) {
        return AttemptResultListener.NO_RETRY_AFTER;
    }

    @Override
    public void recordStart(InstanceRole role, InstanceName name, int pieces) {
        ownPieces.merge(name, pieces, Integer::sum);
    }

    @Override
    public void recordEnd(InstanceRole role, InstanceName name, int pieces) {
        ownPieces.merge(name, -pieces, Integer::sum);
    }

    @Override
    public void observe(InstanceRole role, InstanceName name, LoadObservation load) {}

    @Override
    public void markUnreachable(InstanceRole role, InstanceName name) {
        avoidedUntilMillis.put(name, time.monotonicMillis() + AVOID_MILLIS);
    }

    @Override
    public void recordTransfer(long bytes, long millis) {}

    @Override
    public void recordPrefill(InstanceName name, ModelAttempt attempt, long computedTokens, long millis) {}

    @Override
    public void recordCached(InstanceName name, PrefixBlocks blocks) {}

    private Optional<Instance> pick(InstanceRole role, Set<InstanceName> excluded) {
        Set<InstanceName> skipped = new HashSet<>(excluded);
        avoidedUntilMillis.forEach((name, untilMillis) -> {
            if (time.monotonicMillis() < untilMillis) {
                skipped.add(name);
            }
        });
        List<Instance> usable = instances(role).stream()
                .filter(instance -> !skipped.contains(instance.name()))
                .toList();
        return policy == PolicyName.ROUND_ROBIN ? roundRobin(role, usable) : leastLoaded(role, usable);
    }

    private Optional<Instance> roundRobin(InstanceRole role, List<Instance> usable) {
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        int turn = turns.merge(role, 1, Integer::sum);
        return Optional.of(usable.get(turn % usable.size()));
    }

    private Optional<Instance> leastLoaded(InstanceRole role, List<Instance> usable) {
        return usable.stream().min(Comparator.comparingDouble(instance -> load(role, instance.name())));
    }

    private double load(InstanceRole role, InstanceName name) {
        int ownWork = ownPieces.getOrDefault(name, 0);
        return switch (role) {
            case PREFILL ->
                Math.max(
                        (double) fleet.prefill(name).laggingLoad().queuedTokens(),
                        (double) ownWork * GrantDemand.TOKENS_PER_PIECE);
            case DECODE -> {
                LoadObservation load = fleet.decode(name).laggingLoad();
                yield Math.max(load.totalPieces() - load.freePieces(), ownWork) + load.queued();
            }
            case PLAIN, ENTRY -> {
                LoadObservation load = fleet.plain(name).load();
                yield Math.max(load.running() + load.queued(), ownWork);
            }
        };
    }

    private List<Instance> instances(InstanceRole role) {
        return fleet.inventory().instances().values().stream()
                .filter(instance -> instance.role() == role)
                .toList();
    }
}
