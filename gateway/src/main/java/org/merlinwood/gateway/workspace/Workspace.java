package org.merlinwood.gateway.workspace;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * A workspace of the operator's configuration, without its keys. Immutable.
 *
 * @param name name of the workspace
 * @param priority priority of its requests, 0 is the highest; empty if that of the route holds
 * @param allotment how much it may use; empty if there is no limit
 */
public record Workspace(String name, OptionalInt priority, Optional<Allotment> allotment) {}
