package org.merlinwood.decision.idempotency;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.core.identity.ServiceName;

/**
 * The instances of one inventory that can be homes of keys, grouped by service once for many look-ups. Finds the same
 * homes as {@link KeyHome}. Used as long as its inventory is active. Immutable, thread-safe.
 */
public final class KeyHomes {

    private final Map<ServiceName, RendezvousList> byService;

    private KeyHomes(Map<ServiceName, RendezvousList> byService) {
        this.byService = byService;
    }

    /**
     * Groups the instances of an inventory by service.
     *
     * @param inventory the inventory
     * @return the grouped instances
     */
    public static KeyHomes of(Inventory inventory) {
        return new KeyHomes(candidates(inventory)
                .collect(Collectors.groupingBy(
                        Instance::service, Collectors.collectingAndThen(Collectors.toList(), RendezvousList::new))));
    }

    /**
     * Finds the home of a key.
     *
     * @param key a caller's own key; a minted key contains its instance
     * @param service the service of the request
     * @return the only instance that may run requests with the key, or empty if the service has no instance that is not
     *     retired
     */
    public Optional<Instance> of(IdempotencyKey key, ServiceName service) {
        byte[] subject = key.value().getBytes(StandardCharsets.UTF_8);
        return Optional.ofNullable(byService.get(service)).map(list -> list.first(subject));
    }

    static Stream<Instance> candidates(Inventory inventory) {
        return inventory.instances().values().stream().filter(instance -> instance.state() != InstanceState.RETIRED);
    }
}
