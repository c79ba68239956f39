package org.merlinwood.gateway.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.merlinwood.gateway.route.RouteTable;

/**
 * Routes in force and registered instances.
 *
 * <p>Used by the event loop alone; lives as long as the process. Routes only move to a higher version.
 */
public final class FleetState {

    private Optional<RouteTable> routes = Optional.empty();
    private final Map<String, UpstreamInstance> byIdentifier = new HashMap<>();
    private final Map<String, List<UpstreamInstance>> byService = new HashMap<>();

    /**
     * Puts routes in force.
     *
     * @param next the routes
     * @return false if the routes in force are as new or newer, which then stay
     */
    public boolean replaceRoutes(RouteTable next) {
        if (routes.isPresent() && routes.get().version() >= next.version()) {
            return false;
        }
        routes = Optional.of(next);
        return true;
    }

    /**
     * Adds an instance or replaces its state.
     *
     * @param instance the newest state
     * @return the state before, if there was one
     */
    public Optional<UpstreamInstance> put(UpstreamInstance instance) {
        Optional<UpstreamInstance> before = Optional.ofNullable(byIdentifier.put(instance.identifier(), instance));
        before.ifPresent(this::dropFromService);
        byService
                .computeIfAbsent(instance.service(), ignored -> new ArrayList<>())
                .add(instance);
        return before;
    }

    /**
     * Removes an instance.
     *
     * @param identifier names it
     * @return its last state, or empty if it was not known
     */
    public Optional<UpstreamInstance> remove(String identifier) {
        Optional<UpstreamInstance> removed = Optional.ofNullable(byIdentifier.remove(identifier));
        removed.ifPresent(this::dropFromService);
        return removed;
    }

    /**
     * Returns the routes in force.
     *
     * @return the routes, or empty before the first were read
     */
    public Optional<RouteTable> routes() {
        return routes;
    }

    /**
     * Returns the registered instances of a service, leaving ones included.
     *
     * @param service its name
     * @return a view that changes with the state
     */
    public List<UpstreamInstance> instances(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /**
     * Tells whether requests can be served.
     *
     * @return true once routes are in force and an instance takes work
     */
    public boolean usable() {
        return routes.isPresent() && byIdentifier.values().stream().anyMatch(instance -> !instance.leaving());
    }

    private void dropFromService(UpstreamInstance instance) {
        byService
                .getOrDefault(instance.service(), new ArrayList<>())
                .removeIf(other -> other.identifier().equals(instance.identifier()));
    }
}
