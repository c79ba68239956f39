package org.merlinwood.configuration.document;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.merlinwood.configuration.document.impl.TableWriter;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.inventory.Model;

/** Writes an inventory as a JSON document, one table row per line. Stateless and thread-safe. */
public final class InventoryWriter {

    private InventoryWriter() {}

    /**
     * Writes an inventory. {@link InventoryReader} reads the result as an equal inventory.
     *
     * @param inventory the inventory
     * @return the JSON text; it does not contain the revision
     */
    public static String write(Inventory inventory) {
        return new TableWriter()
                .table("models", inventory.models().values(), InventoryWriter::row)
                .table("instances", inventory.instances().values(), InventoryWriter::row)
                .text();
    }

    private static ObjectNode row(Model model) {
        ObjectNode row = TableWriter.row();
        row.put("name", model.name().value());
        row.put("version", model.version());
        row.put("weights", model.weights());
        ArrayNode adapters = row.putArray("adapters");
        model.adapters().forEach(adapters::add);
        row.put("maximumTokens", model.maximumTokens());
        row.put("cacheBytesPerToken", model.cacheBytesPerToken());
        return row;
    }

    private static ObjectNode row(Instance instance) {
        ObjectNode row = TableWriter.row();
        row.put("name", instance.name().value());
        row.put("address", instance.address().toString());
        row.put("failureDomain", instance.failureDomain().value());
        row.put("region", instance.region());
        row.put("service", instance.service().value());
        row.put("role", EnumSpelling.spell(instance.role()));
        if (instance.role() == InstanceRole.PREFILL || instance.role() == InstanceRole.DECODE) {
            ArrayNode models = row.putArray("models");
            instance.models().forEach(model -> models.add(model.value()));
            row.put("pieces", instance.pieces());
            row.put("orderFencing", EnumSpelling.spell(instance.orderFencing()));
        }
        if (instance.role() == InstanceRole.PLAIN || isPrefillWithConcurrency(instance)) {
            row.put("concurrency", instance.concurrency());
        }
        row.put("state", EnumSpelling.spell(instance.state()));
        return row;
    }

    private static boolean isPrefillWithConcurrency(Instance instance) {
        return instance.role() == InstanceRole.PREFILL && instance.concurrency() > 0;
    }
}
