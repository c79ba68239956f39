package org.merlinwood.decision.idempotency;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.core.identity.IdempotencyKey;
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
        return RendezvousOrder.first(
                key.value().getBytes(StandardCharsets.UTF_8),
                inventory.instances().values().stream()
                        .filter(instance -> instance.service().equals(service))
                        .filter(instance -> instance.state() != InstanceState.RETIRED));
    }
}
