package org.merlinwood.replay.policy;

import java.util.Optional;
import java.util.Set;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.decision.placement.LoadObservation;
import org.merlinwood.decision.prefix.PrefixBlocks;

/** What one entry decides, whatever the policy. Not thread-safe. */
public interface RoutingDecisions {

    /**
     * Tells whether decode memory is granted before the prefill begins.
     *
     * @return false for prefill-first
     */
    boolean reservesDecodeFirst();

    /**
     * Tells whether a broken stream goes on at another instance.
     *
     * @return false if the caller sees the failure
     */
    boolean resumesStreams();

    /**
     * Notes a new send and decides whether it is tried at all.
     *
     * @param run the send
     * @return empty if it is, else when to come back, in milliseconds
     */
    Optional<Long> refusal(ModelRun run);

    /**
     * Notes that a send ended that was not refused by {@link #refusal}.
     *
     * @param run the send
     */
    void ended(ModelRun run);

    /**
     * Chooses an instance.
     *
     * @param role the pool
     * @param run the send
     * @param excluded instances that were tried
     * @return the instance, or empty if none is left
     */
    Optional<Instance> choose(InstanceRole role, ModelRun run, Set<InstanceName> excluded);

    /**
     * Chooses an instance of the plain service.
     *
     * @param excluded instances that were tried
     * @return the instance, or empty if none is left
     */
    Optional<Instance> choosePlain(Set<InstanceName> excluded);

    /**
     * Returns when it is useless to grant.
     *
     * @param role the pool
     * @param run the send
     * @return virtual microseconds
     */
    long latestStartMicros(InstanceRole role, ModelRun run);

    /**
     * Decides whether another instance is tried after a refusal or a loss.
     *
     * @return true if it is
     */
    boolean mayRetry();

    /**
     * Returns when a refused caller is told to come back.
     *
     * @param load load of the instance that refused last
     * @param run the send
     * @return milliseconds, or {@link RunListener#NO_TIME}
     */
    long comeBackMillis(LoadObservation load, ModelRun run);

    /**
     * Notes own work that began.
     *
     * @param role the pool
     * @param name the instance
     * @param pieces pieces that it takes
     */
    void started(InstanceRole role, InstanceName name, int pieces);

    /**
     * Notes own work that ended.
     *
     * @param role the pool
     * @param name the instance
     * @param pieces as given to {@link #started}
     */
    void ended(InstanceRole role, InstanceName name, int pieces);

    /**
     * Notes a load that rode on an answer.
     *
     * @param role the pool
     * @param name the instance
     * @param load the load
     */
    void observe(InstanceRole role, InstanceName name, LoadObservation load);

    /**
     * Notes an instance that did not answer.
     *
     * @param role the pool
     * @param name the instance
     */
    void unreachable(InstanceRole role, InstanceName name);

    /**
     * Notes a transfer that led to a first token.
     *
     * @param bytes size of the KV cache
     * @param millis from the end of the prefill to the first token
     */
    void transferred(long bytes, long millis);

    /**
     * Notes a completed prefill.
     *
     * @param name the instance
     * @param run the send
     * @param computedTokens prompt tokens that were computed
     * @param millis from the grant to the end
     */
    void prefilled(InstanceName name, ModelRun run, long computedTokens, long millis);

    /**
     * Notes a cache event.
     *
     * @param name the instance
     * @param blocks the prefixes that it stored
     */
    void cached(InstanceName name, PrefixBlocks blocks);
}
