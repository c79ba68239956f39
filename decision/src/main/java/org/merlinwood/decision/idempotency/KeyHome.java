package org.merlinwood.decision.idempotency;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ServiceName;

/**
 * Assigns a caller's own key to one instance, its home. Stateless, thread-safe.
 *
 * <p>The home depends on the inventory only. An instance that is unreachable, leaving or draining stays the home of its
 * keys, since the view that one process has of its liveness must not move a key. Keys move only when their instance is
 * retired or removed from the inventory, or when an instance is added.
 */
public final class KeyHome {

    private KeyHome() {}

    /**
     * Finds the home of a key.
     *
     * @param key a caller's own key; a minted key contains its instance
     * @param inventory the active inventory
     * @param service the service of the request
     * @return the only instance that may run requests with the key, or empty if the service has no instance that is not
     *     retired
     */
    public static Optional<Instance> of(IdempotencyKey key, Inventory inventory, ServiceName service) {
        return RendezvousOrder.first(subject(key), candidates(inventory, service));
    }

    /**
     * Finds the home of a key among instance names.
     *
     * @param key a caller's own key
     * @param homes the names that {@link #homes} returned for an inventory
     * @return the only instance that may run requests with the key, or empty if there are no homes
     */
    public static Optional<InstanceName> among(IdempotencyKey key, Set<InstanceName> homes) {
        return RendezvousOrder.firstName(subject(key), homes.stream());
    }

    /**
     * Lists the instances of a service that can be homes of keys.
     *
     * @param inventory the inventory
     * @param service the service
     * @return the names of all its instances that are not retired
     */
    public static Set<InstanceName> homes(Inventory inventory, ServiceName service) {
        return candidates(inventory, service).map(Instance::name).collect(Collectors.toUnmodifiableSet());
    }

    private static byte[] subject(IdempotencyKey key) {
        return key.value().getBytes(StandardCharsets.UTF_8);
    }

    private static Stream<Instance> candidates(Inventory inventory, ServiceName service) {
        return KeyHomes.candidates(inventory)
                .filter(instance -> instance.service().equals(service));
    }
}
