package org.merlinwood.gateway.workspace;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** The workspaces of one version of the configuration, by key. Immutable. Its text form contains no key. */
public final class Workspaces {

    private final Map<String, Workspace> byKey;
    private final int workspaceCount;

    /** The priorities of the workspaces, {@link Optional#empty()} for those without one. */
    private final Set<Optional<Integer>> priorities;

    /**
     * Creates the workspaces of a configuration.
     *
     * @param byKey the workspace of each key; is copied
     */
    public Workspaces(Map<String, Workspace> byKey) {
        this.byKey = Map.copyOf(byKey);
        Set<Workspace> distinct = Set.copyOf(byKey.values());
        this.workspaceCount = distinct.size();
        this.priorities = distinct.stream()
                .map(workspace -> workspace.priority().stream().boxed().findFirst())
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Finds the workspace that holds a key.
     *
     * @param key a key as a caller sent it
     * @return the workspace, or empty if no workspace holds the key
     */
    public Optional<Workspace> find(String key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /**
     * Returns the number of keys.
     *
     * @return number of keys of all workspaces
     */
    public int keyCount() {
        return byKey.size();
    }

    /**
     * Returns the number of workspaces that hold a key.
     *
     * @return number of workspaces
     */
    public int workspaceCount() {
        return workspaceCount;
    }

    /**
     * Returns the priorities of the workspaces, which take precedence over those of routes.
     *
     * @return each priority once, 0 is the highest
     */
    public Set<Integer> priorities() {
        return priorities.stream().flatMap(Optional::stream).collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns whether the priority of the route holds for some workspaces.
     *
     * @return true if a workspace has no priority
     */
    public boolean someUsePriorityOfRoute() {
        return priorities.contains(Optional.<Integer>empty());
    }

    @Override
    public String toString() {
        return "Workspaces[keyCount=" + byKey.size() + "]";
    }
}
