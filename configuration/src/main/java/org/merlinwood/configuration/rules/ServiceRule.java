package org.merlinwood.configuration.rules;

import org.merlinwood.core.identity.ServiceName;

/**
 * A service, one row of the {@code services} table. Immutable.
 *
 * @param name name of the service, as in the inventory
 * @param kind kind of the service
 * @param goodputWeight weight of a response that meets its latency targets; dimensionless, not negative
 * @param wastedPrefillWeight cost of a prefill whose result is not used; dimensionless, not negative
 * @param timeoutMillis maximum time for one plain request, or between two tokens of a model request, in milliseconds
 */
public record ServiceRule(
        ServiceName name, ServiceKind kind, double goodputWeight, double wastedPrefillWeight, long timeoutMillis) {}
