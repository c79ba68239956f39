package org.merlinwood.decision.placement.impl;

import java.util.Optional;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.core.identity.ServiceName;

/**
 * Matches the instances that belong to a pool. Immutable.
 *
 * @param service the service
 * @param role the role
 * @param model the model, empty for plain services
 */
public record PoolFilter(ServiceName service, InstanceRole role, Optional<ModelName> model) {

    /**
     * Returns whether an instance belongs to the pool, regardless of its state.
     *
     * @param instance an inventory row
     * @return true if service, role and model match
     */
    public boolean matches(Instance instance) {
        return instance.role() == role
                && instance.service().equals(service)
                && (model.isEmpty() || instance.models().contains(model.get()));
    }
}
