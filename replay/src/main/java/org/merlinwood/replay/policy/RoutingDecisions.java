package org.merlinwood.replay.policy;

import java.util.Optional;
import java.util.Set;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.decision.placement.LoadObservation;
import org.merlinwood.decision.prefix.PrefixBlocks;

/** The routing decisions of one entry under a policy, and the events from which they are made. Not thread-safe. */
public interface RoutingDecisions {

    /**
     * Returns whether decode memory is requested before the prefill starts.
     *
     * @return true if decode memory comes first; false for prefill-first
     */
    boolean reservesDecodeFirst();

    /**
     * Returns whether a stream continues at another instance after a failure.
     *
     * @return true if it continues; false if the caller sees the failure
     */
    boolean resumesStreams();

    /**
     * Records a new attempt and decides whether to refuse it at once.
     *
     * @param attempt the attempt
     * @return empty if the attempt is admitted, else the delay after which the caller may retry, in milliseconds
     */
    Optional<Long> refusal(ModelAttempt attempt);

    /**
     * Records the end of an attempt that {@link #refusal} admitted.
     *
     * @param attempt the attempt
     */
    void recordEnd(ModelAttempt attempt);

    /**
     * Chooses an instance.
     *
     * @param role role of the pool
     * @param attempt the attempt
     * @param excluded instances that have already been tried
     * @return the instance, or empty if no candidate is left
     */
    Optional<Instance> choose(InstanceRole role, ModelAttempt attempt, Set<InstanceName> excluded);

    /**
     * Chooses an instance of the plain service.
     *
     * @param excluded instances that have already been tried
     * @return the instance, or empty if no candidate is left
     */
    Optional<Instance> choosePlain(Set<InstanceName> excluded);

    /**
     * Returns the latest time at which a grant is still useful.
     *
     * @param role role of the pool
     * @param attempt the attempt
     * @return microseconds of virtual time
     */
    long latestStartMicros(InstanceRole role, ModelAttempt attempt);

    /**
     * Decides whether to retry on another instance after a refusal or a loss.
     *
     * @return true if a retry is allowed
     */
    boolean mayRetry();

    /**
     * Returns the delay after which a refused caller may retry.
     *
     * @param load load of the instance that refused last, or an empty load if none did
     * @param attempt the attempt
     * @return the delay in milliseconds, or {@link AttemptResultListener#NO_RETRY_AFTER}
     */
    long retryAfterMillis(LoadObservation load, ModelAttempt attempt);

    /**
     * Records the start of work that this entry sent to an instance.
     *
     * @param role role of the pool
     * @param name the instance
     * @param pieces number of pieces that the work occupies
     */
    void recordStart(InstanceRole role, InstanceName name, int pieces);

    /**
     * Records the end of work that this entry sent to an instance.
     *
     * @param role role of the pool
     * @param name the instance
     * @param pieces number that was passed to {@link #recordStart}
     */
    void recordEnd(InstanceRole role, InstanceName name, int pieces);

    /**
     * Records the load that came with a response.
     *
     * @param role role of the pool
     * @param name the instance
     * @param load the load
     */
    void observe(InstanceRole role, InstanceName name, LoadObservation load);

    /**
     * Records that an instance did not respond.
     *
     * @param role role of the pool
     * @param name the instance
     */
    void markUnreachable(InstanceRole role, InstanceName name);

    /**
     * Records a transfer after which the first token was generated.
     *
     * @param bytes size of the KV cache, in bytes
     * @param millis time from the end of the prefill to the first token, in milliseconds
     */
    void recordTransfer(long bytes, long millis);

    /**
     * Records a completed prefill.
     *
     * @param name the instance
     * @param attempt the attempt
     * @param computedTokens number of prompt tokens that were computed, without cached ones
     * @param millis duration of the prefill, in milliseconds
     */
    void recordPrefill(InstanceName name, ModelAttempt attempt, long computedTokens, long millis);

    /**
     * Records a cache event.
     *
     * @param name the instance
     * @param blocks prefix blocks that the instance stored
     */
    void recordCached(InstanceName name, PrefixBlocks blocks);
}
