package org.merlinwood.decision.placement.impl;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.codec.digest.MurmurHash3;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.InstanceName;

/**
 * Selects the bounded subset of the inventory that one entry uses, by weighted rendezvous hashing. Immutable.
 *
 * <p>The best instance of each failure domain is selected first, the remaining candidates by score. Scores favour near
 * instances. A change of one inventory row replaces at most one candidate.
 */
public final class CandidateSelection {

    private static final double HASH_RANGE = 0x1.0p-53;
    private static final int HASH_SHIFT = 11;

    private final int selfSeed;
    private final FailureDomain ownDomain;
    private final int maximumCandidates;

    /**
     * Creates a selection for one entry.
     *
     * @param self name of the entry's instance
     * @param ownDomain failure domain of the entry
     * @param maximumCandidates maximum number of candidates
     */
    public CandidateSelection(InstanceName self, FailureDomain ownDomain, int maximumCandidates) {
        byte[] name = self.value().getBytes(StandardCharsets.UTF_8);
        this.selfSeed = (int) MurmurHash3.hash128x64(name)[0];
        this.ownDomain = ownDomain;
        this.maximumCandidates = maximumCandidates;
    }

    /**
     * Selects the candidates.
     *
     * @param inventory the active inventory
     * @param pool matches the instances of the pool
     * @return the candidates; by descending score unless limited, otherwise the best of each failure domain first
     */
    public List<ScoredInstance> choose(Inventory inventory, PoolFilter pool) {
        String ownRegion = ownRegion(inventory).orElse("");
        List<ScoredInstance> matching = new ArrayList<>();
        for (Instance instance : inventory.instances().values()) {
            if (instance.state() == InstanceState.ACTIVE && pool.matches(instance)) {
                matching.add(scored(instance, Distance.of(instance, ownDomain, ownRegion)));
            }
        }
        matching.sort(Comparator.comparingDouble(ScoredInstance::score).reversed());
        return matching.size() <= maximumCandidates ? matching : limited(matching);
    }

    private List<ScoredInstance> limited(List<ScoredInstance> byScore) {
        Set<ScoredInstance> chosen = new LinkedHashSet<>(bestOfEachDomain(byScore));
        for (ScoredInstance instance : byScore) {
            if (chosen.size() >= maximumCandidates) {
                break;
            }
            chosen.add(instance);
        }
        return List.copyOf(chosen);
    }

    private List<ScoredInstance> bestOfEachDomain(List<ScoredInstance> byScore) {
        Set<FailureDomain> seen = new HashSet<>();
        return byScore.stream()
                .filter(scored -> seen.add(scored.instance().failureDomain()))
                .limit(maximumCandidates)
                .toList();
    }

    private ScoredInstance scored(Instance instance, Distance distance) {
        byte[] name = instance.name().value().getBytes(StandardCharsets.UTF_8);
        long hash = MurmurHash3.hash128x64(name, 0, name.length, selfSeed)[0];
        double uniform = ((hash >>> HASH_SHIFT) + 0.5) * HASH_RANGE;
        return new ScoredInstance(instance, distance, distance.selectionWeight() / -Math.log(uniform));
    }

    private Optional<String> ownRegion(Inventory inventory) {
        return inventory.instances().values().stream()
                .filter(instance -> instance.failureDomain().equals(ownDomain))
                .map(Instance::region)
                .findFirst();
    }
}
