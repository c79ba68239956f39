package org.merlinwood.decision.idempotency;

import java.util.Set;
import org.merlinwood.core.identity.InstanceName;

/**
 * A run of revisions of the inventory in which a service had the same homes of keys. Immutable.
 *
 * @param fromRevision first revision
 * @param toRevision last revision that is known to belong to it
 * @param homes names of the instances that were not retired
 * @param endedAgeMillis milliseconds since a later revision replaced it here; 0 while it is in force
 */
public record HomeSpan(long fromRevision, long toRevision, Set<InstanceName> homes, long endedAgeMillis) {

    /** Copies the set. */
    public HomeSpan {
        homes = Set.copyOf(homes);
    }
}
