package org.merlinwood.gateway.workspace;

import java.util.Optional;
import java.util.OptionalLong;

/** Decides who sent a request. Immutable and without I/O. */
public final class CallerIdentification {

    private final RevocationLimit limit;

    /**
     * Creates the decision of one deployment.
     *
     * @param limit for how long a revoked key may be accepted
     */
    public CallerIdentification(RevocationLimit limit) {
        this.limit = limit;
    }

    /**
     * What is known of a request.
     *
     * @param key its key; empty if it has none, or more than one, or a malformed one
     * @param keyRequired whether its route needs a key
     * @param readAtMillis monotonic time at which it had been read completely, in milliseconds
     */
    public record Evidence(Optional<CallerKey> key, boolean keyRequired, long readAtMillis) {}

    /**
     * Decides who sent a request. Where the route needs no key, a key that isn't confirmed counts as none.
     *
     * @param workspaces workspaces of the configuration in force; empty if it has none
     * @param evidence what is known of the request
     * @param copy how current the configuration is
     * @param nowMillis monotonic time, in milliseconds
     * @return the identity
     */
    public CallerIdentity identify(Optional<Workspaces> workspaces, Evidence evidence, CopyState copy, long nowMillis) {
        if (workspaces.isEmpty()) {
            return new CallerIdentity.Unrestricted();
        }
        Optional<Workspace> holder =
                evidence.key().flatMap(key -> workspaces.get().find(key.text()));
        if (holder.isPresent() && isConfirmed(evidence, copy)) {
            return new CallerIdentity.Accepted(holder);
        }
        if (!evidence.keyRequired()) {
            return new CallerIdentity.Accepted(Optional.empty());
        }
        boolean finallyUnknown = holder.isEmpty()
                && (evidence.key().isEmpty() || copy.isConfirmedWithin(nowMillis, CopyState.RECENT_MILLIS));
        return finallyUnknown ? new CallerIdentity.Unknown() : new CallerIdentity.Unconfirmed();
    }

    private boolean isConfirmed(Evidence evidence, CopyState copy) {
        OptionalLong maximumAgeMillis = limit.maximumCopyAgeMillis();
        return maximumAgeMillis.isEmpty()
                || copy.isConfirmedWithin(evidence.readAtMillis(), maximumAgeMillis.getAsLong());
    }

    /**
     * Returns whether the decision for a request depends on how current the configuration is, so that it is worth
     * confirming.
     *
     * @param identity what was decided for a request with a key
     * @return true for each request with a key where revocations are strict; otherwise only if it was not confirmed
     */
    public boolean dependsOnCopy(CallerIdentity identity) {
        return limit.maximumCopyAgeMillis().isPresent() || identity instanceof CallerIdentity.Unconfirmed;
    }
}
