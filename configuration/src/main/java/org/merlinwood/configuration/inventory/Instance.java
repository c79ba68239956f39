package org.merlinwood.configuration.inventory;

import java.util.List;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.core.identity.ServiceName;

/**
 * One row of the inventory. Immutable.
 *
 * @param name unique within the inventory
 * @param address where the process of the system listens for its peers
 * @param failureDomain the failure domain
 * @param region the region, which holds one or more failure domains
 * @param service the service; for an entry the constant {@code entry}
 * @param role what the instance does
 * @param models models that the instance is to carry, empty for plain services and entries
 * @param pieces engine memory in pieces, 0 for plain services and entries
 * @param concurrency how many calls a plain service takes at once, or how many prompts a prefill engine computes at
 *     once (0 means {@link #DEFAULT_PREFILL_CONCURRENCY}); 0 for decode engines and entries
 * @param orderFencing whether the engine checks fencing numbers
 * @param state what the operators want of the instance
 */
public record Instance(
        InstanceName name,
        NetworkAddress address,
        FailureDomain failureDomain,
        String region,
        ServiceName service,
        InstanceRole role,
        List<ModelName> models,
        int pieces,
        int concurrency,
        OrderFencing orderFencing,
        InstanceState state) {

    /** Prompts that a prefill engine computes at once if its row doesn't say. */
    public static final int DEFAULT_PREFILL_CONCURRENCY = 1;

    /** Copies the list. */
    public Instance {
        models = List.copyOf(models);
    }
}
