package org.merlinwood.configuration.document.impl;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.merlinwood.configuration.document.DocumentErrors;
import org.merlinwood.configuration.rules.CallerClass;
import org.merlinwood.configuration.rules.CallerRule;
import org.merlinwood.configuration.rules.KeyDemand;
import org.merlinwood.configuration.rules.Limits;
import org.merlinwood.configuration.rules.Repeatability;
import org.merlinwood.configuration.rules.RouteRule;
import org.merlinwood.configuration.rules.Rules;
import org.merlinwood.configuration.rules.ServiceKind;
import org.merlinwood.configuration.rules.ServiceRule;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.core.identity.ServiceName;

/** Reads the tables of the rules and checks them against each other. Used by one thread for one reading. */
public final class RulesDocument {

    private static final long MAXIMUM_DURATION_MILLIS = 86_400_000;
    private static final long DEFAULT_TIMEOUT_MILLIS = 10_000;
    private static final int LOWEST_PRIORITY = 9;
    private static final int MAXIMUM_CONCURRENT_REQUESTS = 1_000_000;
    private static final int DEFAULT_CONCURRENT_REQUESTS = 16;
    private static final double DEFAULT_WEIGHT = 1.0;
    private static final double DEFAULT_SHARE = 1.0;
    private static final double MINIMUM_SHARE = 0.001;
    private static final String METHOD_SHAPE = "\\*|[A-Z]+";
    private static final String DIGEST_SHAPE = "[0-9a-f]{64}";
    private static final List<String> RESERVED_PATHS = List.of("/v1/completions", "/v1/chat/completions");
    private static final String RESERVED_PREFIX = "/merlinwood/";

    private final Map<String, ServiceRule> services = new TreeMap<>();
    private final List<ReadRoute> routes = new ArrayList<>();
    private final Map<String, CallerClass> classes = new TreeMap<>();

    private RulesDocument() {}

    // ------------------------------------------------------------------ public API

    /**
     * Reads a document.
     *
     * @param documentName name for messages
     * @param revision the revision, positive
     * @param text the whole document
     * @return the rules, or everything that is wrong with the document
     */
    public static Either<DocumentErrors, Rules> read(String documentName, long revision, String text) {
        return DocumentReading.read(documentName, text, document -> new RulesDocument().readTables(revision, document));
    }

    // ------------------------------------------------------------------ tables

    private record ReadRoute(RowReader reader, RouteRule route) {}

    private Rules readTables(long revision, RowReader document) {
        List<ServiceRule> serviceRows = readServices(document);
        document.rows("routes").forEach(this::readRoute);
        refuseHiddenRoutes();
        List<CallerClass> classRows = readClasses(document);
        List<CallerRule> callerRows = readCallers(document);
        Limits limits = LimitsTable.read(document.nested("limits"));
        refuseTimeoutsBeyondHorizon(document, serviceRows, limits);
        List<RouteRule> routeRows = routes.stream().map(ReadRoute::route).toList();
        return new Rules(revision, serviceRows, routeRows, classRows, callerRows, limits);
    }

    private List<ServiceRule> readServices(RowReader document) {
        UniqueColumn names = new UniqueColumn("name");
        List<ServiceRule> rows = new ArrayList<>();
        for (RowReader row : document.requiredRows("services")) {
            ServiceRule service = readService(row);
            names.take(row, service.name().value(), "keep one row for each service");
            services.putIfAbsent(service.name().value(), service);
            rows.add(service);
        }
        return rows;
    }

    private static ServiceRule readService(RowReader row) {
        String name = row.text("name");
        ServiceKind kind = row.word("kind", ServiceKind.class);
        double prefillDefault = kind == ServiceKind.MODEL ? DEFAULT_WEIGHT : 0;
        ServiceRule service = new ServiceRule(
                new ServiceName(name),
                kind,
                row.fraction("goodputWeight", 0, DEFAULT_WEIGHT),
                row.fraction("wastedPrefillWeight", 0, prefillDefault),
                row.durationMillis("timeout", 1, MAXIMUM_DURATION_MILLIS).orElse(DEFAULT_TIMEOUT_MILLIS));
        row.refuseUnknown();
        refuseServiceContradictions(row, service);
        return service;
    }

    private static void refuseServiceContradictions(RowReader row, ServiceRule service) {
        if (service.name().value().equals(InventoryDocument.ENTRY_SERVICE)) {
            row.refuse("name", "the name is reserved for entries", "entries need no row here");
        }
        if (service.kind() == ServiceKind.PLAIN && service.wastedPrefillWeight() > 0) {
            row.refuse("wastedPrefillWeight", "a plain service computes no prefill", "leave the column out");
        }
        boolean weightless = service.goodputWeight() == 0 && service.wastedPrefillWeight() == 0;
        if (row.isSound() && weightless) {
            row.refuse("goodputWeight", "both weights are 0, so no answer would count", "make one of them positive");
        }
    }

    private void readRoute(RowReader row) {
        RouteRule route = new RouteRule(
                row.text("method"),
                row.text("path"),
                new ServiceName(row.text("service")),
                row.word("repeatability", Repeatability.class, Repeatability.NON_IDEMPOTENT),
                row.word("keyDemand", KeyDemand.class, KeyDemand.OPTIONAL));
        row.refuseUnknown();
        if (row.isSound()) {
            refuseRouteContradictions(row, route);
        }
        routes.add(new ReadRoute(row, route));
    }

    private void refuseRouteContradictions(RowReader row, RouteRule route) {
        if (!route.method().matches(METHOD_SHAPE)) {
            row.refuse("method", "'" + route.method() + "' is no method", "write capitals such as GET, or * for any");
        }
        refusePath(row, route.path());
        ServiceRule service = services.get(route.service().value());
        if (service == null) {
            row.refuse(
                    "service",
                    "no row of \"services\" defines '" + route.service() + "'",
                    "defined are " + RowReader.joined(services.keySet()));
        } else if (service.kind() == ServiceKind.MODEL) {
            row.refuse(
                    "service",
                    "'" + route.service() + "' is a model service",
                    "routes lead to plain services; models are found by the name in the request");
        }
        if (route.repeatability() == Repeatability.IDEMPOTENT && route.keyDemand() == KeyDemand.REQUIRED) {
            row.refuse(
                    "keyDemand",
                    "a call that may be repeated needs no key",
                    "leave the column out, or write \"repeatability\": \"non-idempotent\"");
        }
    }

    private static void refusePath(RowReader row, String path) {
        int wildcard = path.indexOf(RouteRule.WILDCARD);
        if (!path.startsWith("/") || path.contains("?") || (wildcard >= 0 && wildcard != path.length() - 1)) {
            row.refuse("path", "'" + path + "' is no path", "begin with /, without query; * may stand at the end only");
        }
        if (RESERVED_PATHS.contains(path) || path.startsWith(RESERVED_PREFIX)) {
            row.refuse("path", "'" + path + "' is answered by the entries themselves", "choose another path");
        }
    }

    private void refuseHiddenRoutes() {
        for (int later = 0; later < routes.size(); later++) {
            for (int earlier = 0; earlier < later; earlier++) {
                if (covers(routes.get(earlier).route(), routes.get(later).route())) {
                    routes.get(later)
                            .reader()
                            .refuse(
                                    "path",
                                    "the row is never used, since routes[" + earlier + "] matches all its requests",
                                    "move the row above that one, or delete it");
                    break;
                }
            }
        }
    }

    private static boolean covers(RouteRule earlier, RouteRule later) {
        boolean sameMethod =
                earlier.method().equals(RouteRule.WILDCARD) || earlier.method().equals(later.method());
        return sameMethod && coversPath(earlier.path(), later.path());
    }

    private static boolean coversPath(String earlier, String later) {
        if (!earlier.endsWith(RouteRule.WILDCARD)) {
            return earlier.equals(later);
        }
        return later.startsWith(earlier.substring(0, earlier.length() - 1));
    }

    private List<CallerClass> readClasses(RowReader document) {
        UniqueColumn names = new UniqueColumn("name");
        List<CallerClass> rows = new ArrayList<>();
        for (RowReader row : document.requiredRows("classes")) {
            CallerClass callerClass = new CallerClass(
                    row.text("name"),
                    (int) row.whole("priority", 0, LOWEST_PRIORITY),
                    row.requiredDurationMillis("firstTokenTarget", 1, MAXIMUM_DURATION_MILLIS),
                    row.requiredDurationMillis("betweenTokensTarget", 1, MAXIMUM_DURATION_MILLIS),
                    row.fraction("share", MINIMUM_SHARE, DEFAULT_SHARE),
                    (int) row.whole("concurrentRequests", 1, MAXIMUM_CONCURRENT_REQUESTS, DEFAULT_CONCURRENT_REQUESTS));
            row.refuseUnknown();
            names.take(row, callerClass.name(), "keep one row for each class");
            classes.putIfAbsent(callerClass.name(), callerClass);
            rows.add(callerClass);
        }
        return rows;
    }

    private List<CallerRule> readCallers(RowReader document) {
        UniqueColumn names = new UniqueColumn("name");
        UniqueColumn digests = new UniqueColumn("tokenDigest");
        List<CallerRule> rows = new ArrayList<>();
        for (RowReader row : document.requiredRows("callers")) {
            CallerRule caller =
                    new CallerRule(new CallerName(row.text("name")), row.text("callerClass"), row.text("tokenDigest"));
            row.refuseUnknown();
            names.take(row, caller.name().value(), "keep one row for each caller");
            refuseCallerContradictions(row, caller);
            digests.take(row, caller.tokenDigest(), "give each caller its own token");
            rows.add(caller);
        }
        return rows;
    }

    private void refuseCallerContradictions(RowReader row, CallerRule caller) {
        if (!row.isSound()) {
            return;
        }
        if (!classes.containsKey(caller.callerClass())) {
            row.refuse(
                    "callerClass",
                    "no row of \"classes\" defines '" + caller.callerClass() + "'",
                    "defined are " + RowReader.joined(new TreeSet<>(classes.keySet())));
        }
        if (!caller.tokenDigest().matches(DIGEST_SHAPE)) {
            row.refuse(
                    "tokenDigest",
                    "it is not a SHA-256 digest",
                    "write the 64 digits, in lower case, that sha256sum prints for the token");
        }
    }

    private static void refuseTimeoutsBeyondHorizon(RowReader document, List<ServiceRule> services, Limits limits) {
        for (ServiceRule service : services) {
            if (service.timeoutMillis() > limits.retryHorizonMillis()) {
                document.refuse(
                        "services",
                        "the timeout of '" + service.name() + "' is longer than limits.retryHorizonMillis ("
                                + limits.retryHorizonMillis() + ")",
                        "a key has to be remembered at least as long as a call may take");
            }
        }
    }
}
