package org.merlinwood.entry.machine;

import java.util.Optional;
import java.util.Set;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.InstanceName;

/** The decisions that a state machine asks for. Called by the control thread; answers at once. */
public interface Placement {

    /**
     * Chooses an instance.
     *
     * @param role the kind of work
     * @param excluded instances that must not be chosen
     * @return the instance, or empty if none may be used
     */
    Optional<Instance> place(InstanceRole role, Set<InstanceName> excluded);

    /** Notes the first attempt of a request. */
    void firstAttempt();

    /**
     * Spends a part of the budget for repeated attempts.
     *
     * @return false if the budget is spent
     */
    boolean tryRetry();

    /**
     * Chooses a time to come back.
     *
     * @param expectedMillis when capacity is expected, in milliseconds from now
     * @return milliseconds from now, spread at random
     */
    long retryAfterMillis(long expectedMillis);
}
