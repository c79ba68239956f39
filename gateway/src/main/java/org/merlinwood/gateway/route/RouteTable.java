package org.merlinwood.gateway.route;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.merlinwood.gateway.workspace.Workspaces;

/**
 * All routes and services of one version of the configuration. Immutable.
 *
 * @param version version number; a higher version replaces a lower one
 * @param routesByHost routes of each host, the longest prefix first
 * @param services services by name
 * @param maximumBodyBytes maximum size of a request body, in bytes
 * @param maximumHeaderBytes maximum size of a request head, in bytes
 * @param workspaces the workspaces by key; empty if the configuration has none, so that no caller is identified
 */
public record RouteTable(
        long version,
        Map<String, List<Route>> routesByHost,
        Map<String, UpstreamService> services,
        long maximumBodyBytes,
        long maximumHeaderBytes,
        Optional<Workspaces> workspaces) {

    /** Maximum size of a request head if the configuration does not set one, in bytes. */
    public static final long DEFAULT_HEADER_BYTES = 16 << 10;

    /**
     * Creates a route table without workspaces.
     *
     * @param version version number
     * @param routes all routes, in any order
     * @param services all services; if two have the same name, the first one counts
     * @param maximumBodyBytes maximum size of a request body, in bytes
     * @return the route table
     */
    public static RouteTable of(
            long version, List<Route> routes, List<UpstreamService> services, long maximumBodyBytes) {
        Map<String, List<Route>> byHost = new HashMap<>();
        routes.stream()
                .collect(Collectors.groupingBy(Route::host))
                .forEach((host, group) -> byHost.put(host, longestPrefixFirst(group)));
        Map<String, UpstreamService> byName = services.stream()
                .collect(Collectors.toUnmodifiableMap(
                        UpstreamService::name, service -> service, (first, duplicate) -> first));
        return new RouteTable(
                version, Map.copyOf(byHost), byName, maximumBodyBytes, DEFAULT_HEADER_BYTES, Optional.empty());
    }

    /**
     * Returns a copy with workspaces.
     *
     * @param newWorkspaces the workspaces
     * @return the copy
     */
    public RouteTable withWorkspaces(Workspaces newWorkspaces) {
        return new RouteTable(
                version, routesByHost, services, maximumBodyBytes, maximumHeaderBytes, Optional.of(newWorkspaces));
    }

    /**
     * Returns a copy with another limit of request heads.
     *
     * @param bytes maximum size of a request head, in bytes
     * @return the copy
     */
    public RouteTable withMaximumHeaderBytes(long bytes) {
        return new RouteTable(version, routesByHost, services, maximumBodyBytes, bytes, workspaces);
    }

    /**
     * Finds the route of a request.
     *
     * @param host value of the {@code Host} header, in lower case
     * @param path path without its query
     * @return the route with the longest matching prefix, or empty
     */
    public Optional<Route> match(String host, String path) {
        return routesByHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.prefix()))
                .findFirst();
    }

    /**
     * Returns whether instances of a service have to tell requests by their priority: the configuration has workspaces,
     * and requests of the service may have different priorities.
     *
     * @param service name of the service
     * @return false without workspaces
     */
    public boolean ranksRequests(String service) {
        return workspaces.isPresent() && priorities(service, workspaces.get()).size() > 1;
    }

    private Set<Integer> priorities(String service, Workspaces present) {
        Set<Integer> priorities = new HashSet<>(present.priorities());
        routesByHost.values().stream()
                .flatMap(List::stream)
                .filter(route -> route.shares().stream()
                        .anyMatch(share -> share.service().equals(service)))
                .filter(route -> present.someUsePriorityOfRoute() || !route.keyRequired())
                .forEach(route -> priorities.add(route.priority()));
        return priorities;
    }

    private static List<Route> longestPrefixFirst(List<Route> routes) {
        return routes.stream()
                .sorted((first, second) ->
                        Integer.compare(second.prefix().length(), first.prefix().length()))
                .toList();
    }
}
