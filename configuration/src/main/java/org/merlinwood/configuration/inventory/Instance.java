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
 * @param address peer address of the entry or sidecar process of this instance
 * @param failureDomain the failure domain
 * @param region the region, which contains one or more failure domains
 * @param service the service; always {@code entry} for an entry
 * @param role role of the instance
 * @param models models that the instance loads; empty for plain services and entries
 * @param pieces engine memory in pieces of 2,000 tokens; 0 for plain services and entries
 * @param concurrency maximum number of concurrent requests of a plain service, or of prompts that a prefill engine
 *     computes concurrently (0 means {@link #DEFAULT_PREFILL_CONCURRENCY}); 0 for decode engines and entries
 * @param orderFencing whether the engine checks the fencing numbers of orders
 * @param state state that the operators have set
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

    /** Number of prompts that a prefill engine computes concurrently if its row has no concurrency. */
    public static final int DEFAULT_PREFILL_CONCURRENCY = 1;

    /** Copies the list. */
    public Instance {
        models = List.copyOf(models);
    }
}
