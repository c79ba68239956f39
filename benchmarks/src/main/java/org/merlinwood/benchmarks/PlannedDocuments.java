package org.merlinwood.benchmarks;

import org.merlinwood.configuration.document.InventoryWriter;
import org.merlinwood.configuration.document.RulesWriter;

/** Documents of the planned size, or a part of it. Stateless. */
public final class PlannedDocuments {

    private static final String ACTIVE = "ACTIVE";
    private static final String DRAINING = "DRAINING";

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
        String document = inventory(rows);
        int place = document.indexOf(ACTIVE, document.length() / 2);
        return document.substring(0, place) + DRAINING + document.substring(place + ACTIVE.length());
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
