package org.merlinwood.decision.idempotency;

import java.util.Set;
import org.merlinwood.core.identity.InstanceName;

/**
 * A range of consecutive inventory revisions in which a service had the same homes of keys. Immutable.
 *
 * @param fromRevision first revision
 * @param toRevision last revision that is known to belong to the range
 * @param homes names of the instances that were not retired
 * @param endedAgeMillis milliseconds since a later revision became active here; 0 while the range is active
 */
public record HomeSpan(long fromRevision, long toRevision, Set<InstanceName> homes, long endedAgeMillis) {

    /** Makes a defensive copy of the set. */
    public HomeSpan {
        homes = Set.copyOf(homes);
    }
}
