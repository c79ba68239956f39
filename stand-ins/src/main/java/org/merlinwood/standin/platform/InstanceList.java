package org.merlinwood.standin.platform;

import java.util.List;

/**
 * The platform's list of instances.
 *
 * @param instances the listed instances; null is read as empty
 */
public record InstanceList(List<ListedInstance> instances) {

    /** Copies the list, so that the record is immutable. */
    public InstanceList {
        instances = instances == null ? List.of() : List.copyOf(instances);
    }

    /**
     * One listed instance.
     *
     * @param name name of the instance
     * @param state {@code LIVE} or {@code LEAVING}
     */
    public record ListedInstance(String name, String state) {}
}
