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

/**
 * Parses rules, validates their rows, and checks them against each other. Not thread-safe; each call of {@link #read}
 * uses an object of its own.
 */
public final class RulesDocument {

    private static final long MAXIMUM_DURATION_MILLIS = 86_400_000;
    private static final long DEFAULT_TIMEOUT_MILLIS = 10_000;
    private static final int LOWEST_PRIORITY = 9;
    private static final int MAXIMUM_CONCURRENT_REQUESTS = 1_000_000;
    private static final int DEFAULT_CONCURRENT_REQUESTS = 16;
    private static final double DEFAULT_WEIGHT = 1.0;
    private static final double DEFAULT_SHARE = 1.0;
    private static final double MINIMUM_SHARE = 0.001;
    private static final String METHOD_PATTERN = "\\*|[A-Z]+";
    private static final String DIGEST_PATTERN = "[0-9a-f]{64}";
    private static final List<String> RESERVED_PATHS = List.of("/v1/completions", "/v1/chat/completions");
    private static final String RESERVED_PREFIX = "/merlinwood/";

    private final Map<String, ServiceRule> services = new TreeMap<>();
    private final List<ParsedRoute> routes = new ArrayList<>();
    private final Map<String, CallerClass> classes = new TreeMap<>();

    private RulesDocument() {}

    // ------------------------------------------------------------------ public API

    /**
     * Parses and validates a document.
     *
     * @param documentName name used in error messages
     * @param revision the revision, positive
     * @param text the whole document
     * @return the rules, or all errors of the document
     */
    public static Either<DocumentErrors, Rules> read(String documentName, long revision, String text) {
        return DocumentReading.read(documentName, text, document -> new RulesDocument().readTables(revision, document));
    }

    // ------------------------------------------------------------------ tables

    private record ParsedRoute(RowReader reader, RouteRule route) {}

    private Rules readTables(long revision, RowReader document) {
        List<ServiceRule> serviceRows = readServices(document);
        document.rows("routes").forEach(this::readRoute);
        checkShadowedRoutes();
        List<CallerClass> classRows = readClasses(document);
        List<CallerRule> callerRows = readCallers(document);
        Limits limits = LimitsTable.read(document.nested("limits"));
        checkTimeouts(document, serviceRows, limits);
        List<RouteRule> routeRows = routes.stream().map(ParsedRoute::route).toList();
        return new Rules(revision, serviceRows, routeRows, classRows, callerRows, limits);
    }

    private List<ServiceRule> readServices(RowReader document) {
        UniqueColumn names = new UniqueColumn("name");
        List<ServiceRule> rows = new ArrayList<>();
        for (RowReader row : document.requiredRows("services")) {
            ServiceRule service = readService(row);
            names.checkUnique(row, service.name().value(), "keep one row for each service");
            services.putIfAbsent(service.name().value(), service);
            rows.add(service);
        }
        return rows;
    }

    private static ServiceRule readService(RowReader row) {
        String name = row.text("name");
        ServiceKind kind = row.enumValue("kind", ServiceKind.class);
        double prefillDefault = kind == ServiceKind.MODEL ? DEFAULT_WEIGHT : 0;
        ServiceRule service = new ServiceRule(
                new ServiceName(name),
                kind,
                row.decimal("goodputWeight", 0, DEFAULT_WEIGHT),
                row.decimal("wastedPrefillWeight", 0, prefillDefault),
                row.durationMillis("timeout", 1, MAXIMUM_DURATION_MILLIS).orElse(DEFAULT_TIMEOUT_MILLIS));
        row.reportUnknownColumns();
        checkService(row, service);
        return service;
    }

    private static void checkService(RowReader row, ServiceRule service) {
        if (service.name().value().equals(InventoryDocument.ENTRY_SERVICE)) {
            row.reportError("name", "the name is reserved for entries", "delete the row; entries need none");
        }
        if (service.kind() == ServiceKind.PLAIN && service.wastedPrefillWeight() > 0) {
            row.reportError("wastedPrefillWeight", "a plain service computes no prefill", "leave the column out");
        }
        boolean bothWeightsZero = service.goodputWeight() == 0 && service.wastedPrefillWeight() == 0;
        if (row.isValid() && bothWeightsZero) {
            row.reportError(
                    "goodputWeight",
                    "both weights are 0, so no response would have a value",
                    "make one of them positive");
        }
    }

    private void readRoute(RowReader row) {
        RouteRule route = new RouteRule(
                row.text("method"),
                row.text("path"),
                new ServiceName(row.text("service")),
                row.enumValue("repeatability", Repeatability.class, Repeatability.NON_IDEMPOTENT),
                row.enumValue("keyDemand", KeyDemand.class, KeyDemand.OPTIONAL));
        row.reportUnknownColumns();
        if (row.isValid()) {
            checkRoute(row, route);
        }
        routes.add(new ParsedRoute(row, route));
    }

    private void checkRoute(RowReader row, RouteRule route) {
        if (!route.method().matches(METHOD_PATTERN)) {
            row.reportError(
                    "method", "'" + route.method() + "' is not a method", "write capitals such as GET, or * for any");
        }
        checkPath(row, route.path());
        ServiceRule service = services.get(route.service().value());
        if (service == null) {
            row.reportError(
                    "service",
                    "no row of \"services\" defines '" + route.service() + "'",
                    "defined are " + RowReader.joinNames(services.keySet()));
        } else if (service.kind() == ServiceKind.MODEL) {
            row.reportError(
                    "service",
                    "'" + route.service() + "' is a model service",
                    "routes lead to plain services; model requests are routed by the model name in the request");
        }
        if (route.repeatability() == Repeatability.IDEMPOTENT && route.keyDemand() == KeyDemand.REQUIRED) {
            row.reportError(
                    "keyDemand",
                    "an idempotent request needs no key",
                    "leave the column out, or write \"repeatability\": \"non-idempotent\"");
        }
    }

    private static void checkPath(RowReader row, String path) {
        int wildcard = path.indexOf(RouteRule.WILDCARD);
        if (!path.startsWith("/") || path.contains("?") || (wildcard >= 0 && wildcard != path.length() - 1)) {
            row.reportError(
                    "path",
                    "'" + path + "' is not a valid path",
                    "begin with /, without a query string; use * at the end only");
        }
        if (RESERVED_PATHS.contains(path) || path.startsWith(RESERVED_PREFIX)) {
            row.reportError("path", "'" + path + "' is reserved for the entries' own endpoints", "choose another path");
        }
    }

    private void checkShadowedRoutes() {
        for (int later = 0; later < routes.size(); later++) {
            for (int earlier = 0; earlier < later; earlier++) {
                if (shadows(routes.get(earlier).route(), routes.get(later).route())) {
                    routes.get(later)
                            .reader()
                            .reportError(
                                    "path",
                                    "the row is never used because routes[" + earlier + "] matches all its requests",
                                    "move the row above that one, or delete it");
                    break;
                }
            }
        }
    }

    private static boolean shadows(RouteRule earlier, RouteRule later) {
        boolean sameMethod =
                earlier.method().equals(RouteRule.WILDCARD) || earlier.method().equals(later.method());
        return sameMethod && shadowsPath(earlier.path(), later.path());
    }

    private static boolean shadowsPath(String earlier, String later) {
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
                    (int) row.wholeNumber("priority", 0, LOWEST_PRIORITY),
                    row.requiredDurationMillis("firstTokenTarget", 1, MAXIMUM_DURATION_MILLIS),
                    row.requiredDurationMillis("betweenTokensTarget", 1, MAXIMUM_DURATION_MILLIS),
                    row.decimal("share", MINIMUM_SHARE, DEFAULT_SHARE),
                    (int) row.wholeNumber(
                            "concurrentRequests", 1, MAXIMUM_CONCURRENT_REQUESTS, DEFAULT_CONCURRENT_REQUESTS));
            row.reportUnknownColumns();
            names.checkUnique(row, callerClass.name(), "keep one row for each class");
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
            row.reportUnknownColumns();
            names.checkUnique(row, caller.name().value(), "keep one row for each caller");
            checkCaller(row, caller);
            digests.checkUnique(row, caller.tokenDigest(), "give each caller its own token");
            rows.add(caller);
        }
        return rows;
    }

    private void checkCaller(RowReader row, CallerRule caller) {
        if (!row.isValid()) {
            return;
        }
        if (!classes.containsKey(caller.callerClass())) {
            row.reportError(
                    "callerClass",
                    "no row of \"classes\" defines '" + caller.callerClass() + "'",
                    "defined are " + RowReader.joinNames(new TreeSet<>(classes.keySet())));
        }
        if (!caller.tokenDigest().matches(DIGEST_PATTERN)) {
            row.reportError(
                    "tokenDigest",
                    "the text is not a SHA-256 digest",
                    "write the 64 digits, in lower case, that sha256sum prints for the token");
        }
    }

    private static void checkTimeouts(RowReader document, List<ServiceRule> services, Limits limits) {
        for (ServiceRule service : services) {
            if (service.timeoutMillis() > limits.retryHorizonMillis()) {
                document.reportError(
                        "services",
                        "the timeout of '" + service.name() + "' is longer than limits.retryHorizonMillis ("
                                + limits.retryHorizonMillis() + ")",
                        "a key must be retained at least as long as a call may take");
            }
        }
    }
}
