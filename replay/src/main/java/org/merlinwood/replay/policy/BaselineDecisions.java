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
import org.merlinwood.decision.placement.LoadObservation;
import org.merlinwood.decision.prefix.PrefixBlocks;
import org.merlinwood.replay.fake.VirtualTime;
import org.merlinwood.replay.trace.TraceHeader;

/** The decisions of one entry under a baseline. Own work in flight counts beside the reported load. */
public final class BaselineDecisions implements RoutingDecisions {

    private static final long LISTED_AS_GONE_MILLIS = 5_000;
    private static final long TOKENS_PER_PIECE = 2_000;

    private final VirtualTime time;
    private final TraceHeader header;
    private final FleetFakes fleet;
    private final PolicyName policy;
    private final Map<InstanceRole, Integer> turns = new EnumMap<>(InstanceRole.class);
    private final Map<InstanceName, Integer> ownPieces = new HashMap<>();
    private final Map<InstanceName, Long> goneUntilMillis = new HashMap<>();

    /**
     * Creates the decisions of one entry.
     *
     * @param time virtual time
     * @param header fleet and rules
     * @param fleet the fakes, asked for their reported load
     * @param policy the baseline
     * @param entry number of the entry, which each instance's turn begins with
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

    // ------------------------------------------------------------------ public API

    @Override
    public boolean reservesDecodeFirst() {
        return policy != PolicyName.PREFILL_FIRST;
    }

    @Override
    public boolean resumesStreams() {
        return false;
    }

    @Override
    public Optional<Long> refusal(ModelRun run) {
        return Optional.empty();
    }

    @Override
    public void ended(ModelRun run) {}

    @Override
    public Optional<Instance> choose(InstanceRole role, ModelRun run, Set<InstanceName> excluded) {
        return pick(role, excluded);
    }

    @Override
    public Optional<Instance> choosePlain(Set<InstanceName> excluded) {
        return pick(InstanceRole.PLAIN, excluded);
    }

    @Override
    public long latestStartMicros(InstanceRole role, ModelRun run) {
        return run.sentMicros()
                + TimeUnit.MILLISECONDS.toMicros(header.callers().patienceMillis());
    }

    @Override
    public boolean mayRetry() {
        return true;
    }

    @Override
    public long comeBackMillis(LoadObservation load, ModelRun run) {
        return RunListener.NO_TIME;
    }

    @Override
    public void started(InstanceRole role, InstanceName name, int pieces) {
        ownPieces.merge(name, pieces, Integer::sum);
    }

    @Override
    public void ended(InstanceRole role, InstanceName name, int pieces) {
        ownPieces.merge(name, -pieces, Integer::sum);
    }

    @Override
    public void observe(InstanceRole role, InstanceName name, LoadObservation load) {}

    @Override
    public void unreachable(InstanceRole role, InstanceName name) {
        goneUntilMillis.put(name, time.monotonicMillis() + LISTED_AS_GONE_MILLIS);
    }

    @Override
    public void transferred(long bytes, long millis) {}

    @Override
    public void prefilled(InstanceName name, ModelRun run, long computedTokens, long millis) {}

    @Override
    public void cached(InstanceName name, PrefixBlocks blocks) {}

    // ------------------------------------------------------------------ internals

    private Optional<Instance> pick(InstanceRole role, Set<InstanceName> excluded) {
        Set<InstanceName> skipped = new HashSet<>(excluded);
        goneUntilMillis.forEach((name, until) -> {
            if (time.monotonicMillis() < until) {
                skipped.add(name);
            }
        });
        List<Instance> usable = instances(role).stream()
                .filter(instance -> !skipped.contains(instance.name()))
                .toList();
        return policy == PolicyName.ROUND_ROBIN ? inTurn(role, usable) : leastLoaded(role, usable);
    }

    private Optional<Instance> inTurn(InstanceRole role, List<Instance> usable) {
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
        int own = ownPieces.getOrDefault(name, 0);
        return switch (role) {
            case PREFILL ->
                Math.max((double) fleet.prefill(name).laggingLoad().queuedTokens(), (double) own * TOKENS_PER_PIECE);
            case DECODE -> {
                LoadObservation load = fleet.decode(name).laggingLoad();
                yield Math.max(load.totalPieces() - load.freePieces(), own) + load.queued();
            }
            case PLAIN, ENTRY -> {
                LoadObservation load = fleet.plain(name).load();
                yield Math.max(load.running() + load.queued(), own);
            }
        };
    }

    private List<Instance> instances(InstanceRole role) {
        return fleet.inventory().instances().values().stream()
                .filter(instance -> instance.role() == role)
                .toList();
    }
}
