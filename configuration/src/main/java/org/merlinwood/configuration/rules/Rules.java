package org.merlinwood.configuration.rules;

import java.util.List;
import java.util.Optional;
import org.merlinwood.core.identity.ServiceName;

/**
 * All rules, checked whole. Immutable and thread-safe.
 *
 * @param revision the revision given by the configuration service
 * @param services the services
 * @param routes routes of the plain services, first match first
 * @param classes classes of callers
 * @param callers the callers; a caller that is not listed is refused
 * @param limits bounds for the whole fleet
 */
public record Rules(
        long revision,
        List<ServiceRule> services,
        List<RouteRule> routes,
        List<CallerClass> classes,
        List<CallerRule> callers,
        Limits limits) {

    /** Copies the tables. */
    public Rules {
        services = List.copyOf(services);
        routes = List.copyOf(routes);
        classes = List.copyOf(classes);
        callers = List.copyOf(callers);
    }

    /**
     * Finds the row of a service.
     *
     * @param name the service
     * @return the row, or empty if there is none
     */
    public Optional<ServiceRule> service(ServiceName name) {
        return services.stream().filter(row -> row.name().equals(name)).findFirst();
    }

    /**
     * Finds a class of callers.
     *
     * @param name the name of the class
     * @return the row, or empty if there is none
     */
    public Optional<CallerClass> callerClass(String name) {
        return classes.stream().filter(row -> row.name().equals(name)).findFirst();
    }
}
