package org.merlinwood.command.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.decision.idempotency.KeyHome;

/**
 * Estimates the share of callers' idempotency keys that an edit moves to another home instance. Computes the home of a
 * sample of {@value #SAMPLE_KEYS} keys in both inventories. Stateless.
 */
final class KeyMoves {

    private static final int SAMPLE_KEYS = 10_000;
    private static final double PERCENT = 100.0;

    private KeyMoves() {}

    static List<String> lines(Inventory before, Inventory after) {
        List<String> lines = new ArrayList<>();
        for (ServiceName service : plainServices(before)) {
            countMoves(service, before, after)
                    .forEach((move, count) -> lines.add(describe(service, move, count, after)));
        }
        return lines;
    }

    /** Names of the home instances of a key before and after the edit. */
    private record Move(String oldHome, String newHome) {}

    private static String describe(ServiceName service, Move move, int count, Inventory after) {
        boolean retired = after.instance(new InstanceName(move.oldHome()))
                .filter(instance -> instance.state() == InstanceState.RETIRED)
                .isPresent();
        return "idempotency keys of " + service + ": about " + Math.round(count * PERCENT / SAMPLE_KEYS)
                + "% move from " + move.oldHome() + " to " + move.newHome()
                + (retired
                        ? "; nobody waits for " + move.oldHome() + ", since it is retired"
                        : "; they are withheld until " + move.oldHome() + " has handed them over");
    }

    private static Map<Move, Integer> countMoves(ServiceName service, Inventory before, Inventory after) {
        Map<Move, Integer> moves =
                new TreeMap<>(Comparator.comparing(Move::oldHome).thenComparing(Move::newHome));
        for (int index = 0; index < SAMPLE_KEYS; index++) {
            IdempotencyKey key = new IdempotencyKey("sample-" + index);
            Optional<String> oldHome = homeOf(key, before, service);
            Optional<String> newHome = homeOf(key, after, service);
            if (oldHome.isPresent() && !oldHome.equals(newHome)) {
                moves.merge(new Move(oldHome.get(), newHome.orElse("nowhere")), 1, Integer::sum);
            }
        }
        return moves;
    }

    private static Optional<String> homeOf(IdempotencyKey key, Inventory inventory, ServiceName service) {
        return KeyHome.of(key, inventory, service)
                .map(instance -> instance.name().value());
    }

    private static Set<ServiceName> plainServices(Inventory inventory) {
        Set<ServiceName> services = new LinkedHashSet<>();
        inventory.instances().values().stream()
                .filter(instance -> instance.role() == InstanceRole.PLAIN)
                .map(Instance::service)
                .forEach(services::add);
        return services;
    }
}
