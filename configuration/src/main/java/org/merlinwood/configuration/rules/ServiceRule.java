package org.merlinwood.configuration.rules;

import org.merlinwood.core.identity.ServiceName;

/**
 * One row of the table of services. Immutable.
 *
 * @param name the service, as in the inventory
 * @param kind how its requests are served
 * @param goodputWeight how much an answer within its targets counts, dimensionless and not negative
 * @param wastedPrefillWeight how much a prefill whose result is not used costs, dimensionless and not negative
 * @param timeoutMillis how long an upstream may take for one plain call or one gap between tokens, in milliseconds
 */
public record ServiceRule(
        ServiceName name, ServiceKind kind, double goodputWeight, double wastedPrefillWeight, long timeoutMillis) {}
