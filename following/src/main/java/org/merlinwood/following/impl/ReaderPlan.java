package org.merlinwood.following.impl;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.codec.digest.MurmurHash3;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.InstanceName;

/**
 * Determines which processes read the configuration service and which peers this process subscribes to. Computed from
 * the inventory alone, so that all processes with the same inventory agree. Immutable.
 *
 * <p>The active instances of each failure domain are ranked by a hash of their names, so that adding or removing an
 * instance does not change the relative order of the others. The first {@link #READERS_PER_DOMAIN} of each domain are
 * readers.
 *
 * @param nominalReader whether this process is a reader of its domain
 * @param candidates peers to subscribe to, in order of preference; if none responds, the process reads the service
 *     itself
 * @param backups peers to subscribe to while the service fails for this process; for a reader, peers of other domains
 *     come first, because the other reader of its own domain may see the same failure
 * @param readers all readers except this process, with which revisions are compared
 */
record ReaderPlan(
        boolean nominalReader,
        List<NetworkAddress> candidates,
        List<NetworkAddress> backups,
        List<NetworkAddress> readers) {

    /** Number of readers in each failure domain. */
    static final int READERS_PER_DOMAIN = 2;

    private static final int DOMAIN_CANDIDATES = 4;
    private static final int FOREIGN_CANDIDATES = 3;

    ReaderPlan {
        candidates = List.copyOf(candidates);
        backups = List.copyOf(backups);
        readers = List.copyOf(readers);
    }

    // ------------------------------------------------------------------ public API

    /** Computes the plan of one process. */
    static ReaderPlan of(Inventory inventory, InstanceName self, FailureDomain domain) {
        Map<FailureDomain, List<Instance>> rankings = rankByDomain(inventory);
        List<Instance> own = rankings.getOrDefault(domain, List.of());
        int rank = rank(own, self);
        boolean nominal = rank >= 0 && rank < READERS_PER_DOMAIN;
        boolean isCandidate = rank >= 0 && rank < DOMAIN_CANDIDATES;
        List<NetworkAddress> domestic = domainCandidates(own, self, rank);
        List<NetworkAddress> foreign = foreignCandidates(rankings, domain, self);
        List<NetworkAddress> domesticFirst = concatenate(domestic, foreign);
        return new ReaderPlan(
                nominal,
                isCandidate ? domestic : domesticFirst,
                nominal ? concatenate(foreign, domestic) : domesticFirst,
                otherReaders(rankings, self));
    }

    // ------------------------------------------------------------------ internals

    private static Map<FailureDomain, List<Instance>> rankByDomain(Inventory inventory) {
        Map<FailureDomain, List<Instance>> rankings = new TreeMap<>();
        inventory.instances().values().stream()
                .filter(instance -> instance.state() == InstanceState.ACTIVE)
                .sorted(Comparator.comparingInt((Instance instance) -> score(instance.name()))
                        .thenComparing(Instance::name))
                .forEach(instance -> rankings.computeIfAbsent(instance.failureDomain(), ignored -> new ArrayList<>())
                        .add(instance));
        return rankings;
    }

    private static int rank(List<Instance> ranking, InstanceName self) {
        return ranking.stream().map(Instance::name).toList().indexOf(self);
    }

    private static List<NetworkAddress> domainCandidates(List<Instance> own, InstanceName self, int rank) {
        boolean isStandby = rank >= READERS_PER_DOMAIN && rank < DOMAIN_CANDIDATES;
        int end = Math.min(own.size(), isStandby ? rank : DOMAIN_CANDIDATES);
        int readers = Math.min(READERS_PER_DOMAIN, end);
        List<Instance> candidates = new ArrayList<>(own.subList(0, readers));
        if (readers > 0) {
            Collections.rotate(candidates, Math.floorMod(score(self), readers));
        }
        candidates.addAll(own.subList(readers, end));
        return addresses(candidates, self);
    }

    private static List<NetworkAddress> foreignCandidates(
            Map<FailureDomain, List<Instance>> rankings, FailureDomain domain, InstanceName self) {
        List<Instance> readers = new ArrayList<>();
        rankings.forEach((other, ranking) -> {
            if (!other.equals(domain)) {
                readers.add(ranking.get(Math.floorMod(score(self), Math.min(READERS_PER_DOMAIN, ranking.size()))));
            }
        });
        if (!readers.isEmpty()) {
            Collections.rotate(readers, Math.floorMod(score(self), readers.size()));
        }
        return addresses(readers.subList(0, Math.min(FOREIGN_CANDIDATES, readers.size())), self);
    }

    private static List<NetworkAddress> otherReaders(Map<FailureDomain, List<Instance>> rankings, InstanceName self) {
        List<Instance> readers = new ArrayList<>();
        rankings.values()
                .forEach(ranking -> readers.addAll(ranking.subList(0, Math.min(READERS_PER_DOMAIN, ranking.size()))));
        return addresses(readers, self);
    }

    private static List<NetworkAddress> concatenate(List<NetworkAddress> first, List<NetworkAddress> second) {
        List<NetworkAddress> addresses = new ArrayList<>(first);
        addresses.addAll(second);
        return addresses;
    }

    private static List<NetworkAddress> addresses(List<Instance> instances, InstanceName self) {
        return instances.stream()
                .filter(instance -> !instance.name().equals(self))
                .map(Instance::address)
                .toList();
    }

    private static int score(InstanceName name) {
        return MurmurHash3.hash32x86(name.value().getBytes(StandardCharsets.UTF_8));
    }
}
