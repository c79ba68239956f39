package org.merlinwood.gateway.route;

import java.util.Optional;

/**
 * A service with its upstream instances.
 *
 * @param name name of the service
 * @param maximumConnections maximum number of connections that one instance accepts from all entries together
 * @param engine limits of the model engines; empty for a plain service
 */
public record UpstreamService(String name, int maximumConnections, Optional<EngineLimits> engine) {}
