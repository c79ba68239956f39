package org.merlinwood.following;

import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.rules.Rules;
import org.merlinwood.core.identity.Revisions;

/**
 * The two documents that a process acts by. Immutable.
 *
 * @param inventory the inventory
 * @param rules the rules
 */
public record ActiveConfiguration(Inventory inventory, Rules rules) {

    /**
     * Returns the revisions of both.
     *
     * @return complete revisions
     */
    public Revisions revisions() {
        return new Revisions(inventory.revision(), rules.revision());
    }
}
