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
 * What inventory and rules say about this instance. Immutable.
 *
 * @param inForce both documents
 * @param row the row of this instance, empty while it is not listed
 */
public record ServingConfiguration(ActiveConfiguration inForce, Optional<Instance> row) {

    private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;
    private static final long FIRST_PROMPT_MILLIS = 50;

    /**
     * Looks an instance up.
     *
     * @param inForce both documents
     * @param name the instance
     * @return the view
     */
    public static ServingConfiguration of(ActiveConfiguration inForce, InstanceName name) {
        return new ServingConfiguration(inForce, inForce.inventory().instance(name));
    }

    /**
     * Returns the revisions of both documents.
     *
     * @return the revisions
     */
    public Revisions revisions() {
        return inForce.revisions();
    }

    /**
     * Returns the bounds for the whole fleet.
     *
     * @return the limits
     */
    public Limits limits() {
        return inForce.rules().limits();
    }

    /**
     * Tells whether the operators want this instance to take work.
     *
     * @return true if its row is there and active
     */
    public boolean takesWork() {
        return row.map(instance -> instance.state() == InstanceState.ACTIVE).orElse(false);
    }

    /**
     * Returns the units of capacity.
     *
     * @return prompts that a prefill engine computes at once, pieces of memory of a decode engine, or slots of a plain
     *     service
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
     * Returns the memory of the engine.
     *
     * @return pieces, 0 for a plain service
     */
    public int pieces() {
        return row.map(Instance::pieces).orElse(0);
    }

    /**
     * Returns how long a unit is taken to be held before the first was, where that is known to differ from the grant
     * book's own assumption.
     *
     * @return milliseconds for a prompt that is computed, empty for other work
     */
    public OptionalLong firstHoldMillis() {
        return hasRole(InstanceRole.PREFILL) ? OptionalLong.of(FIRST_PROMPT_MILLIS) : OptionalLong.empty();
    }

    /**
     * Tells whether this instance does a kind of work.
     *
     * @param role the kind of work
     * @return true if its row says so
     */
    public boolean hasRole(InstanceRole role) {
        return row.map(instance -> instance.role() == role).orElse(false);
    }

    /**
     * Tells whether this instance carries a model.
     *
     * @param model the model
     * @return true if its row says so
     */
    public boolean carries(String model) {
        return !model.isBlank()
                && row.map(instance -> instance.models().contains(new ModelName(model)))
                        .orElse(false);
    }

    /**
     * Returns how long the upstream may take for one plain call or one gap between tokens.
     *
     * @return milliseconds
     */
    public long timeoutMillis() {
        return row.flatMap(instance -> inForce.rules().service(instance.service()))
                .map(ServiceRule::timeoutMillis)
                .orElse(DEFAULT_TIMEOUT_MILLIS);
    }

    /**
     * Finds the row of the routes that a plain call belongs to, among those of this service.
     *
     * @param method the method in capitals
     * @param path the path, with or without a query
     * @return the first row that matches
     */
    public Optional<RouteRule> route(String method, String path) {
        int query = path.indexOf('?');
        String plainPath = query < 0 ? path : path.substring(0, query);
        return inForce.rules().routes().stream()
                .filter(route -> route.matchesMethod(method) && route.matchesPath(plainPath))
                .findFirst();
    }
}
