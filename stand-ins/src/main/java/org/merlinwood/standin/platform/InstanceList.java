package org.merlinwood.standin.platform;

import java.util.List;

/**
 * The platform's list of instances.
 *
 * @param instances the rows
 */
public record InstanceList(List<ListedInstance> instances) {

    /** Copies the list. */
    public InstanceList {
        instances = instances == null ? List.of() : List.copyOf(instances);
    }

    /**
     * One row.
     *
     * @param name name of the instance
     * @param state {@code LIVE} or {@code LEAVING}
     */
    public record ListedInstance(String name, String state) {}
}
