package org.merlinwood.configuration.document.impl;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.merlinwood.configuration.document.DocumentErrors;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.inventory.Model;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.configuration.inventory.OrderFencing;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.core.identity.ServiceName;

/**
 * Parses an inventory, validates its rows, and checks them against each other. Not thread-safe; each call of
 * {@link #read} uses an object of its own.
 */
public final class InventoryDocument {

    /** Name of the service of all entries; no other instance may use it. */
    public static final String ENTRY_SERVICE = "entry";

    /** Region of an instance whose row has no region. */
    public static final String DEFAULT_REGION = "default";

    private static final int MAXIMUM_PIECES = 1_000_000;
    private static final int MAXIMUM_CONCURRENCY = 1_000_000;
    private static final int MAXIMUM_MODEL_TOKENS = 100_000_000;
    private static final long MAXIMUM_CACHE_BYTES_PER_TOKEN = 1L << 30;
    private static final NetworkAddress PLACEHOLDER_ADDRESS = new NetworkAddress("0.0.0.0", 1);
    private static final String ADDRESS_REMEDY = "write IP:PORT, such as 10.0.1.7:7100";

    private final List<ParsedRow> rows = new ArrayList<>();
    private final List<Model> models = new ArrayList<>();
    private final Set<String> modelNames = new HashSet<>();

    private InventoryDocument() {}

    // ------------------------------------------------------------------ public API

    /**
     * Parses and validates a document.
     *
     * @param documentName name used in error messages
     * @param revision the revision, positive
     * @param text the whole document
     * @return the inventory, or all errors of the document
     */
    public static Either<DocumentErrors, Inventory> read(String documentName, long revision, String text) {
        return DocumentReading.read(
                documentName, text, document -> new InventoryDocument().readTables(revision, document));
    }

    // ------------------------------------------------------------------ internals

    /** An instance with the reader of its row, which reports further errors. */
    private record ParsedRow(RowReader reader, Instance instance) {

        boolean isIncludedInTableChecks() {
            return reader.isValid() && instance.state() != InstanceState.RETIRED;
        }
    }

    private Inventory readTables(long revision, RowReader document) {
        document.rows("models").forEach(this::readModel);
        document.requiredRows("instances").forEach(this::readInstance);
        checkUniqueness();
        rows.forEach(row -> checkModelsAreDefined(row));
        rows.stream().filter(row -> row.reader().isValid()).forEach(InventoryDocument::checkRoleColumns);
        checkServiceRoles();
        checkPools();
        checkRegions();
        return Inventory.of(revision, rows.stream().map(ParsedRow::instance).toList(), models);
    }

    private void readModel(RowReader row) {
        String name = row.text("name");
        Model model = new Model(
                new ModelName(name),
                row.text("version"),
                row.text("weights"),
                row.texts("adapters"),
                (int) row.wholeNumber("maximumTokens", 1, MAXIMUM_MODEL_TOKENS),
                row.wholeNumber("cacheBytesPerToken", 1, MAXIMUM_CACHE_BYTES_PER_TOKEN));
        row.reportUnknownColumns();
        if (!modelNames.add(name) && !name.equals(RowReader.PLACEHOLDER)) {
            row.reportError("name", "the model '" + name + "' stands in an earlier row", "keep one row for each model");
        }
        models.add(model);
    }

    private void readInstance(RowReader row) {
        InstanceName name = new InstanceName(row.text("name"));
        InstanceRole role = row.enumValue("role", InstanceRole.class);
        Instance instance = new Instance(
                name,
                row.parsed("address", NetworkAddress::parse, PLACEHOLDER_ADDRESS, ADDRESS_REMEDY),
                new FailureDomain(row.text("failureDomain")),
                row.text("region", DEFAULT_REGION),
                new ServiceName(role == InstanceRole.ENTRY ? row.text("service", ENTRY_SERVICE) : row.text("service")),
                role,
                row.texts("models").stream().map(ModelName::new).toList(),
                (int) row.wholeNumber("pieces", 0, MAXIMUM_PIECES, 0),
                (int) row.wholeNumber("concurrency", 0, MAXIMUM_CONCURRENCY, defaultConcurrency(role)),
                row.enumValue("orderFencing", OrderFencing.class, OrderFencing.CHECKED),
                row.enumValue("state", InstanceState.class, InstanceState.ACTIVE));
        row.reportUnknownColumns();
        rows.add(new ParsedRow(row, instance));
    }

    private static int defaultConcurrency(InstanceRole role) {
        return role == InstanceRole.PREFILL ? Instance.DEFAULT_PREFILL_CONCURRENCY : 0;
    }

    // ------------------------------------------------------------------ checks of the whole table

    private void checkUniqueness() {
        UniqueColumn names = new UniqueColumn("name");
        UniqueColumn addresses = new UniqueColumn("address");
        for (ParsedRow row : rows) {
            Instance instance = row.instance();
            names.checkUnique(row.reader(), instance.name().value(), "give each instance its own name");
            if (instance.state() != InstanceState.RETIRED && !instance.address().equals(PLACEHOLDER_ADDRESS)) {
                addresses.checkUnique(
                        row.reader(),
                        instance.address().toString(),
                        "correct one of the two rows, or mark the removed instance as \"retired\"");
            }
        }
    }

    private void checkModelsAreDefined(ParsedRow row) {
        for (ModelName model : row.instance().models()) {
            if (!modelNames.contains(model.value()) && !model.value().equals(RowReader.PLACEHOLDER)) {
                row.reader()
                        .reportError(
                                "models",
                                "no row of \"models\" defines '" + model + "'",
                                modelNames.isEmpty()
                                        ? "add a row to \"models\""
                                        : "defined are " + RowReader.joinNames(new TreeSet<>(modelNames)));
            }
        }
    }

    private static void checkRoleColumns(ParsedRow row) {
        switch (row.instance().role()) {
            case ENTRY -> checkEntry(row);
            case PREFILL, DECODE -> checkEngine(row);
            case PLAIN -> checkPlain(row);
        }
    }

    private static void checkEntry(ParsedRow row) {
        if (!row.instance().service().value().equals(ENTRY_SERVICE)) {
            row.reader()
                    .reportError(
                            "service",
                            "the service of an entry is always '" + ENTRY_SERVICE + "'",
                            "leave the column out");
        }
        rejectEngineColumns(row, "an entry");
        rejectConcurrency(row, "an entry");
    }

    private static void checkEngine(ParsedRow row) {
        Instance instance = row.instance();
        String role = "a " + instance.role().name().toLowerCase(Locale.ROOT) + " instance";
        checkServiceIsNotReserved(row);
        if (instance.models().isEmpty()) {
            row.reader().reportError("models", role + " carries no model", "list at least one model");
        }
        if (instance.pieces() == 0) {
            row.reader()
                    .reportError(
                            "pieces",
                            role + " has no engine memory",
                            "write how many pieces of 2,000 tokens the engine memory has, at least 1");
        }
        if (instance.role() == InstanceRole.PREFILL) {
            checkPrefillConcurrency(row, role);
        } else {
            rejectConcurrency(row, role);
        }
    }

    private static void checkPrefillConcurrency(ParsedRow row, String role) {
        if (row.instance().concurrency() == 0) {
            row.reader()
                    .reportError(
                            "concurrency",
                            role + " computes no prompt",
                            "write how many prompts it computes concurrently, at least 1, or leave the column out");
        }
    }

    private static void checkPlain(ParsedRow row) {
        checkServiceIsNotReserved(row);
        rejectEngineColumns(row, "an instance of a plain service");
        if (row.instance().concurrency() == 0) {
            row.reader()
                    .reportError(
                            "concurrency",
                            "an instance of a plain service takes no call",
                            "write how many requests it accepts concurrently, at least 1");
        }
    }

    private static void checkServiceIsNotReserved(ParsedRow row) {
        if (row.instance().service().value().equals(ENTRY_SERVICE)) {
            row.reader()
                    .reportError(
                            "service",
                            "the service '" + ENTRY_SERVICE + "' is that of entries",
                            "name the service, or write \"role\": \"entry\"");
        }
    }

    private static void rejectEngineColumns(ParsedRow row, String subject) {
        if (!row.instance().models().isEmpty()) {
            row.reader().reportError("models", subject + " carries no models", "leave the column out");
        }
        if (row.instance().pieces() != 0) {
            row.reader().reportError("pieces", subject + " has no engine memory", "leave the column out");
        }
        if (row.reader().has("orderFencing")) {
            row.reader().reportError("orderFencing", subject + " takes no orders", "leave the column out");
        }
    }

    private static void rejectConcurrency(ParsedRow row, String subject) {
        if (row.instance().concurrency() != 0) {
            row.reader().reportError("concurrency", "the column does not apply to " + subject, "leave the column out");
        }
    }

    private void checkServiceRoles() {
        Map<ServiceName, ParsedRow> firstOfService = new HashMap<>();
        for (ParsedRow row : rows) {
            if (!row.isIncludedInTableChecks()) {
                continue;
            }
            ParsedRow first = firstOfService.putIfAbsent(row.instance().service(), row);
            if (first != null && isPlain(first) != isPlain(row)) {
                row.reader()
                        .reportError(
                                "role",
                                "the service '" + row.instance().service() + "' has the role '"
                                        + first.instance().role().name().toLowerCase(Locale.ROOT)
                                        + "' in the row of " + first.instance().name(),
                                "give a service either plain instances only, or prefill and decode instances only");
            }
        }
    }

    private static boolean isPlain(ParsedRow row) {
        return row.instance().role() == InstanceRole.PLAIN;
    }

    private void checkPools() {
        Map<ServiceName, Set<InstanceRole>> roles = new TreeMap<>();
        Map<ServiceName, ParsedRow> firstOfService = new HashMap<>();
        rows.stream()
                .filter(row -> row.instance().state() != InstanceState.RETIRED)
                .forEach(row -> {
                    ServiceName service = row.instance().service();
                    firstOfService.putIfAbsent(service, row);
                    roles.computeIfAbsent(service, ignored -> EnumSet.noneOf(InstanceRole.class))
                            .add(row.instance().role());
                });
        roles.forEach((service, present) -> checkPoolsOfService(service, present, firstOfService.get(service)));
    }

    private static void checkPoolsOfService(ServiceName service, Set<InstanceRole> present, ParsedRow first) {
        boolean hasPrefill = present.contains(InstanceRole.PREFILL);
        boolean hasDecode = present.contains(InstanceRole.DECODE);
        if (hasPrefill != hasDecode) {
            String missing = hasPrefill ? "decode" : "prefill";
            first.reader()
                    .reportError(
                            "service",
                            "the model service '" + service + "' has no " + missing + " instance",
                            "give at least one of its rows the role \"" + missing + "\"");
        }
    }

    private void checkRegions() {
        Map<FailureDomain, String> regions = new HashMap<>();
        for (ParsedRow row : rows) {
            if (!row.isIncludedInTableChecks()) {
                continue;
            }
            Instance instance = row.instance();
            String region = regions.putIfAbsent(instance.failureDomain(), instance.region());
            if (region != null && !region.equals(instance.region())) {
                row.reader()
                        .reportError(
                                "region",
                                "the failure domain '" + instance.failureDomain() + "' is in the region '" + region
                                        + "' in an earlier row",
                                "place each failure domain in one region");
            }
        }
    }
}
