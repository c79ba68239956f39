package org.merlinwood.benchmarks;

import org.merlinwood.configuration.document.InventoryWriter;
import org.merlinwood.configuration.document.RulesWriter;

/** Documents of the planned size, or a part of it. Stateless. */
public final class PlannedDocuments {

    private PlannedDocuments() {}

    /**
     * Writes an inventory.
     *
     * @param rows its rows
     * @return the document
     */
    public static String inventory(int rows) {
        return InventoryWriter.write(PlannedFleet.mixed(rows));
    }

    /**
     * Writes an inventory in which one row changed.
     *
     * @param rows its rows
     * @return the document
     */
    public static String inventoryWithOneChange(int rows) {
        return InventoryWriter.write(PlannedFleet.withOneDraining(PlannedFleet.mixed(rows)));
    }

    /**
     * Writes rules.
     *
     * @param callers their callers
     * @return the document
     */
    public static String rules(int callers) {
        return RulesWriter.write(PlannedFleet.rules(callers));
    }
}
