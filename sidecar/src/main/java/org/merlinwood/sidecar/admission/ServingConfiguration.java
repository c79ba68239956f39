package org.merlinwood.sidecar.admission;

import java.util.Optional;
import java.util.OptionalLong;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.rules.Limits;
import org.merlinwood.configuration.rules.RouteRule;
import org.merlinwood.configuration.rules.ServiceRule;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.following.ActiveConfiguration;

/**
 * The part of inventory and rules that concerns this instance. Immutable.
 *
 * @param active the active inventory and rules
 * @param row inventory entry of this instance, empty if it is not listed
 */
public record ServingConfiguration(ActiveConfiguration active, Optional<Instance> row) {

    private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;
    private static final long INITIAL_PREFILL_RESERVATION_MILLIS = 50;

    /**
     * Creates the configuration of one instance.
     *
     * @param active the active inventory and rules
     * @param name name of the instance
     * @return the configuration of that instance
     */
    public static ServingConfiguration of(ActiveConfiguration active, InstanceName name) {
        return new ServingConfiguration(active, active.inventory().instance(name));
    }

    /**
     * Returns the revisions of both documents.
     *
     * @return the revisions
     */
    public Revisions revisions() {
        return active.revisions();
    }

    /**
     * Returns the limits that apply to the whole fleet.
     *
     * @return the limits
     */
    public Limits limits() {
        return active.rules().limits();
    }

    /**
     * Tells whether the inventory allows this instance to accept new work.
     *
     * @return true if the instance is listed and its state is active
     */
    public boolean acceptsWork() {
        return row.map(instance -> instance.state() == InstanceState.ACTIVE).orElse(false);
    }

    /**
     * Returns the capacity of the upstream in units.
     *
     * @return concurrent prompts of a prefill engine, memory pieces of a decode engine, or concurrent requests of a
     *     plain service; 0 if the instance is not listed
     */
    public int units() {
        return row.map(ServingConfiguration::units).orElse(0);
    }

    private static int units(Instance instance) {
        return switch (instance.role()) {
            case PREFILL -> instance.concurrency() == 0 ? Instance.DEFAULT_PREFILL_CONCURRENCY : instance.concurrency();
            case PLAIN -> instance.concurrency();
            case DECODE, ENTRY -> instance.pieces();
        };
    }

    /**
     * Returns the memory size of the engine.
     *
     * @return memory pieces; 0 for a plain service or an instance that is not listed
     */
    public int pieces() {
        return row.map(Instance::pieces).orElse(0);
    }

    /**
     * Returns the expected reservation time of a unit that is used until a first one has been observed, for roles where
     * it differs from the grant manager's default.
     *
     * @return milliseconds for the prefill role, empty for other roles
     */
    public OptionalLong initialReservationMillis() {
        return hasRole(InstanceRole.PREFILL)
                ? OptionalLong.of(INITIAL_PREFILL_RESERVATION_MILLIS)
                : OptionalLong.empty();
    }

    /**
     * Tells whether this instance has a role.
     *
     * @param role the role
     * @return true if the instance is listed with that role
     */
    public boolean hasRole(InstanceRole role) {
        return row.map(instance -> instance.role() == role).orElse(false);
    }

    /**
     * Tells whether the inventory assigns a model to this instance.
     *
     * @param model name of the model
     * @return true if the instance is listed with that model
     */
    public boolean hasModel(String model) {
        return !model.isBlank()
                && row.map(instance -> instance.models().contains(new ModelName(model)))
                        .orElse(false);
    }

    /**
     * Returns the timeout of a plain request, which is also the read timeout between two tokens.
     *
     * @return milliseconds
     */
    public long timeoutMillis() {
        return row.flatMap(instance -> active.rules().service(instance.service()))
                .map(ServiceRule::timeoutMillis)
                .orElse(DEFAULT_TIMEOUT_MILLIS);
    }

    /**
     * Finds the route of a plain request.
     *
     * @param method the HTTP method in upper case
     * @param path the path, with or without a query
     * @return the first route that matches, or empty
     */
    public Optional<RouteRule> route(String method, String path) {
        int query = path.indexOf('?');
        String plainPath = query < 0 ? path : path.substring(0, query);
        return active.rules().routes().stream()
                .filter(route -> route.matchesMethod(method) && route.matchesPath(plainPath))
                .findFirst();
    }
}
