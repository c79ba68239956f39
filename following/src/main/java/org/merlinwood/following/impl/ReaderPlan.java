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
 * Who reads the configuration service and whom a process subscribes to, from the inventory alone. Immutable.
 *
 * <p>In each failure domain the active instances stand in rendezvous order, which no other instance's coming or going
 * changes; the first {@link #READERS} read.
 *
 * @param nominalReader whether this process is one of the first
 * @param candidates whom to subscribe to, in order; when none answers, the process reads itself
 * @param backups whom to subscribe to when the service fails as well; for a reader those of other domains come first,
 *     since the other reader of its own domain may see the same failure
 * @param readers readers other than this process, whom a reader compares its revisions with
 */
record ReaderPlan(
        boolean nominalReader,
        List<NetworkAddress> candidates,
        List<NetworkAddress> backups,
        List<NetworkAddress> readers) {

    /** Readers in each failure domain. */
    static final int READERS = 2;

    private static final int DOMAIN_CANDIDATES = 4;
    private static final int FOREIGN_CANDIDATES = 3;

    ReaderPlan {
        candidates = List.copyOf(candidates);
        backups = List.copyOf(backups);
        readers = List.copyOf(readers);
    }

    // ------------------------------------------------------------------ public API

    static ReaderPlan of(Inventory inventory, InstanceName self, FailureDomain domain) {
        Map<FailureDomain, List<Instance>> orders = orders(inventory);
        List<Instance> own = orders.getOrDefault(domain, List.of());
        int position = position(own, self);
        boolean nominal = position >= 0 && position < READERS;
        boolean amongFirst = position >= 0 && position < DOMAIN_CANDIDATES;
        List<NetworkAddress> near = domainCandidates(own, self, position);
        List<NetworkAddress> foreign = foreignCandidates(orders, domain, self);
        List<NetworkAddress> nearFirst = joined(near, foreign);
        return new ReaderPlan(
                nominal,
                amongFirst ? near : nearFirst,
                nominal ? joined(foreign, near) : nearFirst,
                otherReaders(orders, self));
    }

    // ------------------------------------------------------------------ internals

    private static Map<FailureDomain, List<Instance>> orders(Inventory inventory) {
        Map<FailureDomain, List<Instance>> orders = new TreeMap<>();
        inventory.instances().values().stream()
                .filter(instance -> instance.state() == InstanceState.ACTIVE)
                .sorted(Comparator.comparingInt((Instance instance) -> score(instance.name()))
                        .thenComparing(Instance::name))
                .forEach(instance -> orders.computeIfAbsent(instance.failureDomain(), ignored -> new ArrayList<>())
                        .add(instance));
        return orders;
    }

    private static int position(List<Instance> order, InstanceName self) {
        return order.stream().map(Instance::name).toList().indexOf(self);
    }

    private static List<NetworkAddress> domainCandidates(List<Instance> own, InstanceName self, int position) {
        boolean amongFirst = position >= READERS && position < DOMAIN_CANDIDATES;
        int end = Math.min(own.size(), amongFirst ? position : DOMAIN_CANDIDATES);
        int nominal = Math.min(READERS, end);
        List<Instance> first = new ArrayList<>(own.subList(0, nominal));
        if (nominal > 0) {
            Collections.rotate(first, Math.floorMod(score(self), nominal));
        }
        first.addAll(own.subList(nominal, end));
        return addresses(first, self);
    }

    private static List<NetworkAddress> foreignCandidates(
            Map<FailureDomain, List<Instance>> orders, FailureDomain domain, InstanceName self) {
        List<Instance> firsts = new ArrayList<>();
        orders.forEach((other, order) -> {
            if (!other.equals(domain)) {
                firsts.add(order.get(Math.floorMod(score(self), Math.min(READERS, order.size()))));
            }
        });
        if (!firsts.isEmpty()) {
            Collections.rotate(firsts, Math.floorMod(score(self), firsts.size()));
        }
        return addresses(firsts.subList(0, Math.min(FOREIGN_CANDIDATES, firsts.size())), self);
    }

    private static List<NetworkAddress> otherReaders(Map<FailureDomain, List<Instance>> orders, InstanceName self) {
        List<Instance> readers = new ArrayList<>();
        orders.values().forEach(order -> readers.addAll(order.subList(0, Math.min(READERS, order.size()))));
        return addresses(readers, self);
    }

    private static List<NetworkAddress> joined(List<NetworkAddress> first, List<NetworkAddress> second) {
        List<NetworkAddress> joined = new ArrayList<>(first);
        joined.addAll(second);
        return joined;
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
