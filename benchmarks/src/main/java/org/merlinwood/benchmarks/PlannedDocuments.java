package org.merlinwood.benchmarks;

import org.merlinwood.configuration.document.InventoryWriter;
import org.merlinwood.configuration.document.RulesWriter;

/** Creates documents of the planned fleet size or a fraction of it. Stateless and thread-safe. */
public final class PlannedDocuments {

    private PlannedDocuments() {}

    /**
     * Creates the document of an inventory.
     *
     * @param rows number of rows
     * @return the document
     */
    public static String inventory(int rows) {
        return InventoryWriter.write(PlannedFleet.mixed(rows));
    }

    /**
     * Creates the document of an inventory in which one row has changed.
     *
     * @param rows number of rows
     * @return the document
     */
    public static String inventoryWithOneChange(int rows) {
        return InventoryWriter.write(PlannedFleet.withOneDraining(PlannedFleet.mixed(rows)));
    }

    /**
     * Creates the document of rules.
     *
     * @param callers number of callers
     * @return the document
     */
    public static String rules(int callers) {
        return RulesWriter.write(PlannedFleet.rules(callers));
    }
}
