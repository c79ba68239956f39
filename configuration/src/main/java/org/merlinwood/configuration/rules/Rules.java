package org.merlinwood.configuration.rules;

import java.util.List;
import java.util.Optional;
import org.merlinwood.core.identity.ServiceName;

/**
 * Validated rules. Immutable and thread-safe.
 *
 * @param revision revision assigned by the configuration service
 * @param services the services
 * @param routes routes of the plain services; the first match applies
 * @param classes the classes of callers
 * @param callers the callers; requests of unlisted callers are refused
 * @param limits limits for the whole fleet
 */
public record Rules(
        long revision,
        List<ServiceRule> services,
        List<RouteRule> routes,
        List<CallerClass> classes,
        List<CallerRule> callers,
        Limits limits) {

    /** Copies the lists. */
    public Rules {
        services = List.copyOf(services);
        routes = List.copyOf(routes);
        classes = List.copyOf(classes);
        callers = List.copyOf(callers);
    }

    /**
     * Finds a service.
     *
     * @param name name of the service
     * @return the service, or empty if the rules do not contain it
     */
    public Optional<ServiceRule> service(ServiceName name) {
        return services.stream().filter(row -> row.name().equals(name)).findFirst();
    }

    /**
     * Finds a class of callers.
     *
     * @param name name of the class
     * @return the class, or empty if the rules do not contain it
     */
    public Optional<CallerClass> callerClass(String name) {
        return classes.stream().filter(row -> row.name().equals(name)).findFirst();
    }
}
