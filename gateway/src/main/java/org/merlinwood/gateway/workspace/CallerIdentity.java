package org.merlinwood.gateway.workspace;

import java.util.Optional;

/** Who sent a request, as far as the configuration tells. */
public sealed interface CallerIdentity {

    /** The configuration has no workspaces, so that no caller is identified. */
    record Unrestricted() implements CallerIdentity {}

    /**
     * The request may be processed.
     *
     * @param workspace workspace of the caller; empty for a request without a valid key on a route that needs none
     */
    record Accepted(Optional<Workspace> workspace) implements CallerIdentity {}

    /** The route needs a key, and the request has none that a workspace holds. */
    record Unknown() implements CallerIdentity {}

    /** Whether a workspace holds the key can't be told for certain now, since the configuration may have changed. */
    record Unconfirmed() implements CallerIdentity {}
}
