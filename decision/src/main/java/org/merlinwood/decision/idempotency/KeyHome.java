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
 * Binds a caller's own key to one instance. Stateless, thread-safe.
 *
 * <p>The home depends on the inventory alone. An instance that is unreachable, leaving or draining stays the home of
 * its keys, since liveness seen by one process must not move a key; only a row that is retired or removed does.
 */
public final class KeyHome {

    private KeyHome() {}

    /**
     * Finds the home of a key.
     *
     * @param key a caller's own key; a minted key names its instance itself
     * @param inventory the inventory in force
     * @param service the service that the call is for
     * @return the only instance that may run the key, or empty if the service has no instance that is not retired
     */
    public static Optional<Instance> of(IdempotencyKey key, Inventory inventory, ServiceName service) {
        return RendezvousOrder.first(subject(key), candidates(inventory, service));
    }

    /**
     * Finds the home of a key among names.
     *
     * @param key a caller's own key
     * @param homes the names that {@link #homes} gave for some inventory
     * @return the only instance that may run the key, or empty if there is none
     */
    public static Optional<InstanceName> among(IdempotencyKey key, Set<InstanceName> homes) {
        return RendezvousOrder.firstName(subject(key), homes.stream());
    }

    /**
     * Lists the instances that may be homes.
     *
     * @param inventory the inventory
     * @param service the service
     * @return the names of all its instances that are not retired
     */
    public static Set<InstanceName> homes(Inventory inventory, ServiceName service) {
        return candidates(inventory, service).map(Instance::name).collect(Collectors.toUnmodifiableSet());
    }

    // ------------------------------------------------------------------ internals

    private static byte[] subject(IdempotencyKey key) {
        return key.value().getBytes(StandardCharsets.UTF_8);
    }

    private static Stream<Instance> candidates(Inventory inventory, ServiceName service) {
        return KeyHomes.candidates(inventory)
                .filter(instance -> instance.service().equals(service));
    }
}
