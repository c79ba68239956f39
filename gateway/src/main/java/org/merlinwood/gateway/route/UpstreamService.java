package org.merlinwood.gateway.route;

import java.util.Optional;

/**
 * One service of upstream instances.
 *
 * @param name its name
 * @param maximumConnections connections that one instance accepts from all entries together
 * @param engine limits of a model engine; empty for a plain service
 */
public record UpstreamService(String name, int maximumConnections, Optional<EngineLimits> engine) {}
