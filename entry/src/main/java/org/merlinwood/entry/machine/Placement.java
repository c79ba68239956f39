package org.merlinwood.entry.machine;

import java.util.Optional;
import java.util.Set;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.InstanceName;

/** Placement and retry decisions that a state machine needs. Called on the control thread; must not block. */
public interface Placement {

    /**
     * Chooses an instance.
     *
     * @param role the kind of work
     * @param excluded instances that must not be chosen
     * @return the instance, or empty if none is available
     */
    Optional<Instance> place(InstanceRole role, Set<InstanceName> excluded);

    /** Records the first attempt of a request, which adds to the retry budget. */
    void recordFirstAttempt();

    /**
     * Takes one attempt from the retry budget.
     *
     * @return false if the budget is exhausted
     */
    boolean tryRetry();

    /**
     * Chooses the time after which a refused caller may retry.
     *
     * @param expectedMillis when capacity is expected, in milliseconds from now
     * @return milliseconds from now, with random jitter
     */
    long retryAfterMillis(long expectedMillis);
}
