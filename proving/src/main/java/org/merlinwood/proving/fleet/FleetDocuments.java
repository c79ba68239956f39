package org.merlinwood.proving.fleet;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.codec.digest.DigestUtils;
import org.merlinwood.configuration.inventory.Model;
import org.merlinwood.configuration.rules.CallerClass;
import org.merlinwood.configuration.rules.CallerRule;
import org.merlinwood.configuration.rules.KeyDemand;
import org.merlinwood.configuration.rules.Repeatability;
import org.merlinwood.configuration.rules.RouteRule;
import org.merlinwood.configuration.rules.Rules;
import org.merlinwood.configuration.rules.ServiceKind;
import org.merlinwood.configuration.rules.ServiceRule;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.identity.ServiceName;

/** Names, models and rules of the fleets of the demo and the proofs. Stateless. */
public final class FleetDocuments {

    /** The model service, which serves the models of both deployments. */
    public static final String GENERATION = "text-generation";

    /** Plain service of the hydrant registry. */
    public static final String LEDGER = "hydrant-ledger";

    /** Plain service of the review replies. */
    public static final String PORTAL = "reply-portal";

    /** Model of the hydrant registry. */
    public static final String SUMMARY_MODEL = "report-summary";

    /** Model of the review replies. */
    public static final String REPLY_MODEL = "reply-draft";

    /** Bearer token of an inspector. */
    public static final String INSPECTOR_TOKEN = "inspector-demo-token";

    /** Bearer token of a branch manager. */
    public static final String MANAGER_TOKEN = "manager-demo-token";

    private static final String INSPECTORS = "inspectors";
    private static final String MANAGERS = "managers";
    private static final int MODEL_TOKENS = 32_000;
    private static final long CACHE_BYTES_PER_TOKEN = 256;
    private static final long MODEL_TIMEOUT_MILLIS = 5_000;
    private static final long PLAIN_TIMEOUT_MILLIS = 5_000;
    private static final int CONCURRENT_REQUESTS = 200;

    private FleetDocuments() {}

    /** Returns the models. */
    static List<Model> models() {
        return List.of(model(SUMMARY_MODEL), model(REPLY_MODEL));
    }

    /** Returns the rules of a plan. */
    static Rules rules(FleetPlan plan) {
        Set<ServiceName> plain = new LinkedHashSet<>();
        plan.plainServices().forEach(pool -> plain.add(new ServiceName(pool.service())));
        return new Rules(Revisions.NONE, services(plain), routes(plain), classes(), callers(), plan.limits());
    }

    private static List<ServiceRule> services(Set<ServiceName> plain) {
        List<ServiceRule> services = new ArrayList<>();
        services.add(new ServiceRule(new ServiceName(GENERATION), ServiceKind.MODEL, 1, 1, MODEL_TIMEOUT_MILLIS));
        plain.forEach(name -> services.add(new ServiceRule(name, ServiceKind.PLAIN, 1, 0, PLAIN_TIMEOUT_MILLIS)));
        return services;
    }

    private static List<RouteRule> routes(Set<ServiceName> plain) {
        List<RouteRule> routes = new ArrayList<>();
        routes.add(route("GET", "/hydrants/*", LEDGER, Repeatability.IDEMPOTENT, KeyDemand.OPTIONAL));
        routes.add(route("POST", "/bookings", LEDGER, Repeatability.NON_IDEMPOTENT, KeyDemand.REQUIRED));
        routes.add(route("GET", "/reviews/*", PORTAL, Repeatability.IDEMPOTENT, KeyDemand.OPTIONAL));
        routes.add(route("POST", "/replies", PORTAL, Repeatability.NON_IDEMPOTENT, KeyDemand.OPTIONAL));
        routes.removeIf(row -> !plain.contains(row.service()));
        return routes;
    }

    private static List<CallerClass> classes() {
        return List.of(
                new CallerClass(INSPECTORS, 0, 2_000, 300, 2, CONCURRENT_REQUESTS),
                new CallerClass(MANAGERS, 1, 4_000, 500, 1, CONCURRENT_REQUESTS));
    }

    private static List<CallerRule> callers() {
        return List.of(
                new CallerRule(new CallerName("inspector"), INSPECTORS, DigestUtils.sha256Hex(INSPECTOR_TOKEN)),
                new CallerRule(new CallerName("manager"), MANAGERS, DigestUtils.sha256Hex(MANAGER_TOKEN)));
    }

    private static RouteRule route(
            String method, String path, String service, Repeatability repeatability, KeyDemand keyDemand) {
        return new RouteRule(method, path, new ServiceName(service), repeatability, keyDemand);
    }

    private static Model model(String name) {
        return new Model(new ModelName(name), "1", name + "-1", List.of(), MODEL_TOKENS, CACHE_BYTES_PER_TOKEN);
    }
}
