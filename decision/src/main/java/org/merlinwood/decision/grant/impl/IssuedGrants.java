package org.merlinwood.decision.grant.impl;

import java.util.LinkedHashSet;
import java.util.Set;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;

/**
 * Numbers the grants of one incarnation and remembers which were invalidated unused. Bounded: the oldest numbers are
 * evicted first. Not thread-safe.
 */
public final class IssuedGrants {

    private static final int MAXIMUM_INVALIDATED_GRANTS = 4_096;

    private final Set<Long> invalidatedUnused = new LinkedHashSet<>();
    private long lastNumber;

    /** Creates the memory of an incarnation that has issued no grant. */
    public IssuedGrants() {}

    /**
     * Returns the number of a new grant.
     *
     * @return the next number, starting at 1
     */
    public long issue() {
        return ++lastNumber;
    }

    /**
     * Returns the number of the newest grant.
     *
     * @return the number, or 0 if none has been issued
     */
    public long lastNumber() {
        return lastNumber;
    }

    /**
     * Records that a grant was invalidated before its use.
     *
     * @param number number of the grant
     */
    public void recordInvalidated(long number) {
        invalidatedUnused.add(number);
        if (invalidatedUnused.size() > MAXIMUM_INVALIDATED_GRANTS) {
            invalidatedUnused.remove(invalidatedUnused.iterator().next());
        }
    }

    /**
     * Returns the failure of an execute with a grant that has no reservation. A number that was issued and is not known
     * to have been invalidated unused may have run.
     *
     * @param number number of the grant, as received
     * @return the failure
     */
    public Failure unknownGrantFailure(long number) {
        if (invalidatedUnused.contains(number)) {
            return Failure.of(ResultCode.GRANT_EXPIRED, "the grant was invalidated before it was used");
        }
        Failure unknown = Failure.of(ResultCode.GRANT_UNKNOWN, "no grant with this number is known");
        boolean neverIssued = number <= 0 || number > lastNumber;
        return neverIssued ? unknown : unknown.withExecutionState(ExecutionState.UNKNOWN);
    }
}
