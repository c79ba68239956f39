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

/** Reads the tables of an inventory and checks them against each other. Used by one thread for one reading. */
public final class InventoryDocument {

    /** Service of every entry instance. */
    public static final String ENTRY_SERVICE = "entry";

    /** Region of a row that names none. */
    public static final String DEFAULT_REGION = "default";

    private static final int MAXIMUM_PIECES = 1_000_000;
    private static final int MAXIMUM_CONCURRENCY = 1_000_000;
    private static final int MAXIMUM_MODEL_TOKENS = 100_000_000;
    private static final long MAXIMUM_CACHE_BYTES_PER_TOKEN = 1L << 30;
    private static final NetworkAddress PLACEHOLDER_ADDRESS = new NetworkAddress("0.0.0.0", 1);
    private static final String ADDRESS_REMEDY = "write IP:PORT, such as 10.0.1.7:7100";

    private final List<ReadRow> rows = new ArrayList<>();
    private final List<Model> models = new ArrayList<>();
    private final Set<String> modelNames = new HashSet<>();

    private InventoryDocument() {}

    // ------------------------------------------------------------------ public API

    /**
     * Reads a document.
     *
     * @param documentName name for messages
     * @param revision the revision, positive
     * @param text the whole document
     * @return the inventory, or everything that is wrong with the document
     */
    public static Either<DocumentErrors, Inventory> read(String documentName, long revision, String text) {
        return DocumentReading.read(
                documentName, text, document -> new InventoryDocument().readTables(revision, document));
    }

    // ------------------------------------------------------------------ internals

    /** A row of the table together with what was made of it. */
    private record ReadRow(RowReader reader, Instance instance) {

        boolean counts() {
            return reader.isSound() && instance.state() != InstanceState.RETIRED;
        }
    }

    private Inventory readTables(long revision, RowReader document) {
        document.rows("models").forEach(this::readModel);
        document.requiredRows("instances").forEach(this::readInstance);
        refuseDuplicates();
        rows.forEach(row -> refuseUnknownModels(row));
        rows.stream().filter(row -> row.reader().isSound()).forEach(InventoryDocument::refuseContradictions);
        refuseMixedServices();
        refuseHalfServices();
        refuseDomainsInTwoRegions();
        return Inventory.of(revision, rows.stream().map(ReadRow::instance).toList(), models);
    }

    private void readModel(RowReader row) {
        String name = row.text("name");
        Model model = new Model(
                new ModelName(name),
                row.text("version"),
                row.text("weights"),
                row.texts("adapters"),
                (int) row.whole("maximumTokens", 1, MAXIMUM_MODEL_TOKENS),
                row.whole("cacheBytesPerToken", 1, MAXIMUM_CACHE_BYTES_PER_TOKEN));
        row.refuseUnknown();
        if (!modelNames.add(name) && !name.equals(RowReader.PLACEHOLDER)) {
            row.refuse("name", "the model '" + name + "' stands in an earlier row", "keep one row for each model");
        }
        models.add(model);
    }

    private void readInstance(RowReader row) {
        InstanceName name = new InstanceName(row.text("name"));
        InstanceRole role = row.word("role", InstanceRole.class);
        Instance instance = new Instance(
                name,
                row.parsed("address", NetworkAddress::parse, PLACEHOLDER_ADDRESS, ADDRESS_REMEDY),
                new FailureDomain(row.text("failureDomain")),
                row.text("region", DEFAULT_REGION),
                new ServiceName(role == InstanceRole.ENTRY ? row.text("service", ENTRY_SERVICE) : row.text("service")),
                role,
                row.texts("models").stream().map(ModelName::new).toList(),
                (int) row.whole("pieces", 0, MAXIMUM_PIECES, 0),
                (int) row.whole("concurrency", 0, MAXIMUM_CONCURRENCY, defaultConcurrency(role)),
                row.word("orderFencing", OrderFencing.class, OrderFencing.CHECKED),
                row.word("state", InstanceState.class, InstanceState.ACTIVE));
        row.refuseUnknown();
        rows.add(new ReadRow(row, instance));
    }

    private static int defaultConcurrency(InstanceRole role) {
        return role == InstanceRole.PREFILL ? Instance.DEFAULT_PREFILL_CONCURRENCY : 0;
    }

    // ------------------------------------------------------------------ checks of the whole table

    private void refuseDuplicates() {
        UniqueColumn names = new UniqueColumn("name");
        UniqueColumn addresses = new UniqueColumn("address");
        for (ReadRow row : rows) {
            Instance instance = row.instance();
            names.take(row.reader(), instance.name().value(), "give each instance its own name");
            if (instance.state() != InstanceState.RETIRED && !instance.address().equals(PLACEHOLDER_ADDRESS)) {
                addresses.take(
                        row.reader(),
                        instance.address().toString(),
                        "correct one of the two rows, or mark the instance that is gone as \"retired\"");
            }
        }
    }

    private void refuseUnknownModels(ReadRow row) {
        for (ModelName model : row.instance().models()) {
            if (!modelNames.contains(model.value()) && !model.value().equals(RowReader.PLACEHOLDER)) {
                row.reader()
                        .refuse(
                                "models",
                                "no row of \"models\" defines '" + model + "'",
                                modelNames.isEmpty()
                                        ? "add a row to \"models\""
                                        : "defined are " + RowReader.joined(new TreeSet<>(modelNames)));
            }
        }
    }

    private static void refuseContradictions(ReadRow row) {
        switch (row.instance().role()) {
            case ENTRY -> refuseForEntry(row);
            case PREFILL, DECODE -> refuseForEngine(row);
            case PLAIN -> refuseForPlain(row);
        }
    }

    private static void refuseForEntry(ReadRow row) {
        if (!row.instance().service().value().equals(ENTRY_SERVICE)) {
            row.reader().refuse("service", "an entry serves no service of its own", "leave the column out");
        }
        refuseEngineColumns(row, "an entry");
        refuseConcurrency(row, "an entry");
    }

    private static void refuseForEngine(ReadRow row) {
        Instance instance = row.instance();
        String role = "a " + instance.role().name().toLowerCase(Locale.ROOT) + " instance";
        refuseReservedService(row);
        if (instance.models().isEmpty()) {
            row.reader().refuse("models", role + " carries no model", "list at least one model");
        }
        if (instance.pieces() == 0) {
            row.reader()
                    .refuse(
                            "pieces",
                            role + " has no engine memory",
                            "write how many pieces of 2,000 tokens the engine holds, at least 1");
        }
        if (instance.role() == InstanceRole.PREFILL) {
            refuseIdlePrefill(row, role);
        } else {
            refuseConcurrency(row, role);
        }
    }

    private static void refuseIdlePrefill(ReadRow row, String role) {
        if (row.instance().concurrency() == 0) {
            row.reader()
                    .refuse(
                            "concurrency",
                            role + " computes no prompt",
                            "write how many prompts it computes at once, at least 1, or leave the column out");
        }
    }

    private static void refuseForPlain(ReadRow row) {
        refuseReservedService(row);
        refuseEngineColumns(row, "an instance of a plain service");
        if (row.instance().concurrency() == 0) {
            row.reader()
                    .refuse(
                            "concurrency",
                            "an instance of a plain service takes no call",
                            "write how many calls it takes at once, at least 1");
        }
    }

    private static void refuseReservedService(ReadRow row) {
        if (row.instance().service().value().equals(ENTRY_SERVICE)) {
            row.reader()
                    .refuse(
                            "service",
                            "the service '" + ENTRY_SERVICE + "' is that of entries",
                            "name the service, or write \"role\": \"entry\"");
        }
    }

    private static void refuseEngineColumns(ReadRow row, String subject) {
        if (!row.instance().models().isEmpty()) {
            row.reader().refuse("models", subject + " carries no models", "leave the column out");
        }
        if (row.instance().pieces() != 0) {
            row.reader().refuse("pieces", subject + " has no engine memory", "leave the column out");
        }
        if (row.reader().has("orderFencing")) {
            row.reader().refuse("orderFencing", subject + " takes no orders", "leave the column out");
        }
    }

    private static void refuseConcurrency(ReadRow row, String subject) {
        if (row.instance().concurrency() != 0) {
            row.reader().refuse("concurrency", "the column does not apply to " + subject, "leave the column out");
        }
    }

    private void refuseMixedServices() {
        Map<ServiceName, ReadRow> firstOfService = new HashMap<>();
        for (ReadRow row : rows) {
            if (!row.counts()) {
                continue;
            }
            ReadRow first = firstOfService.putIfAbsent(row.instance().service(), row);
            if (first != null && isPlain(first) != isPlain(row)) {
                row.reader()
                        .refuse(
                                "role",
                                "the service '" + row.instance().service() + "' has the role '"
                                        + first.instance().role().name().toLowerCase(Locale.ROOT)
                                        + "' in the row of " + first.instance().name(),
                                "a service is either plain, or prefill and decode");
            }
        }
    }

    private static boolean isPlain(ReadRow row) {
        return row.instance().role() == InstanceRole.PLAIN;
    }

    private void refuseHalfServices() {
        Map<ServiceName, Set<InstanceRole>> roles = new TreeMap<>();
        Map<ServiceName, ReadRow> firstOfService = new HashMap<>();
        rows.stream()
                .filter(row -> row.instance().state() != InstanceState.RETIRED)
                .forEach(row -> {
                    ServiceName service = row.instance().service();
                    firstOfService.putIfAbsent(service, row);
                    roles.computeIfAbsent(service, ignored -> EnumSet.noneOf(InstanceRole.class))
                            .add(row.instance().role());
                });
        roles.forEach((service, present) -> refuseHalfService(service, present, firstOfService.get(service)));
    }

    private static void refuseHalfService(ServiceName service, Set<InstanceRole> present, ReadRow first) {
        boolean hasPrefill = present.contains(InstanceRole.PREFILL);
        boolean hasDecode = present.contains(InstanceRole.DECODE);
        if (hasPrefill != hasDecode) {
            String missing = hasPrefill ? "decode" : "prefill";
            first.reader()
                    .refuse(
                            "service",
                            "the model service '" + service + "' has no " + missing + " instance",
                            "give at least one of its rows the role \"" + missing + "\"");
        }
    }

    private void refuseDomainsInTwoRegions() {
        Map<FailureDomain, String> regions = new HashMap<>();
        for (ReadRow row : rows) {
            if (!row.counts()) {
                continue;
            }
            Instance instance = row.instance();
            String region = regions.putIfAbsent(instance.failureDomain(), instance.region());
            if (region != null && !region.equals(instance.region())) {
                row.reader()
                        .refuse(
                                "region",
                                "the failure domain '" + instance.failureDomain() + "' is in the region '" + region
                                        + "' in an earlier row",
                                "a failure domain lies in one region");
            }
        }
    }
}
