package org.merlinwood.gateway.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.merlinwood.gateway.route.RouteTable;

/**
 * Current routes and registered instances.
 *
 * <p>Not thread-safe: used on the event loop only. Routes are only replaced by routes of a higher version.
 */
public final class FleetState {

    private Optional<RouteTable> routes = Optional.empty();
    private final Map<String, UpstreamInstance> byIdentifier = new HashMap<>();
    private final Map<String, List<UpstreamInstance>> byService = new HashMap<>();

    /**
     * Replaces the routes.
     *
     * @param newRoutes new routes
     * @return false if the current routes have the same or a higher version and were kept
     */
    public boolean replaceRoutes(RouteTable newRoutes) {
        if (routes.isPresent() && routes.get().version() >= newRoutes.version()) {
            return false;
        }
        routes = Optional.of(newRoutes);
        return true;
    }

    /**
     * Adds an instance or replaces its registration. Of a registration that doesn't tell the start it is assumed that
     * the instance is the one that was registered before.
     *
     * @param registered latest registration
     * @return previous registration, or empty if the instance was not registered
     */
    public Optional<UpstreamInstance> put(UpstreamInstance registered) {
        UpstreamInstance instance = withKnownStart(registered);
        Optional<UpstreamInstance> previous = Optional.ofNullable(byIdentifier.put(instance.identifier(), instance));
        previous.ifPresent(this::removeFromService);
        byService
                .computeIfAbsent(instance.service(), ignored -> new ArrayList<>())
                .add(instance);
        return previous;
    }

    /**
     * Returns a registration with the start that is known of its instance, if it doesn't tell the start itself.
     *
     * @param registered a registration
     * @return the registration, with the start of the current one if it tells none
     */
    public UpstreamInstance withKnownStart(UpstreamInstance registered) {
        return registered.startedUnixMillis() != UpstreamInstance.UNKNOWN_START
                ? registered
                : find(registered.identifier())
                        .map(known -> registered.withStart(known.startedUnixMillis()))
                        .orElse(registered);
    }

    /**
     * Removes an instance.
     *
     * @param identifier identifier of the instance
     * @return last registration, or empty if the instance was not registered
     */
    public Optional<UpstreamInstance> remove(String identifier) {
        Optional<UpstreamInstance> removed = Optional.ofNullable(byIdentifier.remove(identifier));
        removed.ifPresent(this::removeFromService);
        return removed;
    }

    /**
     * Returns the current routes.
     *
     * @return the routes, or empty until the first routes have been read
     */
    public Optional<RouteTable> routes() {
        return routes;
    }

    /**
     * Returns a registered instance.
     *
     * @param identifier identifier of the instance
     * @return latest registration, or empty if the instance is not registered
     */
    public Optional<UpstreamInstance> find(String identifier) {
        return Optional.ofNullable(byIdentifier.get(identifier));
    }

    /**
     * Returns the registered instances of a service, including those that are leaving.
     *
     * @param service name of the service
     * @return a live view if the service has been registered before, otherwise an empty list; must not be modified
     */
    public List<UpstreamInstance> instances(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /**
     * Returns whether requests can be served.
     *
     * @return true if routes are present and at least one instance accepts work
     */
    public boolean canServeRequests() {
        return routes.isPresent() && byIdentifier.values().stream().anyMatch(instance -> !instance.leaving());
    }

    private void removeFromService(UpstreamInstance instance) {
        byService
                .getOrDefault(instance.service(), new ArrayList<>())
                .removeIf(other -> other.identifier().equals(instance.identifier()));
    }
}
