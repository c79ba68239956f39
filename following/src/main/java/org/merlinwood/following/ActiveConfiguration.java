package org.merlinwood.following;

import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.rules.Rules;
import org.merlinwood.core.identity.Revisions;

/**
 * The active inventory and rules of a process. Immutable.
 *
 * @param inventory the active inventory
 * @param rules the active rules
 */
public record ActiveConfiguration(Inventory inventory, Rules rules) {

    /**
     * Returns the revisions of both documents.
     *
     * @return the revisions, neither of them {@link Revisions#NONE}
     */
    public Revisions revisions() {
        return new Revisions(inventory.revision(), rules.revision());
    }
}
