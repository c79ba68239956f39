package org.merlinwood.entry.machine;

import java.util.Optional;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.wire.CacheHandle;

/** Output of a {@link RequestMachine}: a step to perform for the request. Immutable. */
public sealed interface RequestAction {

    /**
     * Request a grant from a sidecar.
     *
     * @param attempt number of the attempt
     * @param role the kind of work
     * @param instance the instance whose sidecar receives the request
     */
    record RequestGrant(int attempt, InstanceRole role, Instance instance) implements RequestAction {}

    /**
     * Execute the prefill of a granted attempt.
     *
     * @param attempt number of the attempt
     */
    record ExecutePrefill(int attempt) implements RequestAction {}

    /**
     * Execute the decode of a granted attempt, continuing after the tokens that the caller already has.
     *
     * @param attempt number of the attempt
     * @param cache result of the prefill, empty if the decode engine has to run the prefill itself
     */
    record ExecuteDecode(int attempt, Optional<CacheHandle> cache) implements RequestAction {}

    /**
     * Execute the plain request of a granted attempt.
     *
     * @param attempt number of the attempt
     */
    record ExecutePlain(int attempt) implements RequestAction {}

    /**
     * Release an unused grant.
     *
     * @param attempt number of the attempt
     */
    record Release(int attempt) implements RequestAction {}

    /**
     * Cancel an attempt in any state. A grant that arrives later is released.
     *
     * @param attempt number of the attempt
     * @param reason result code that states the reason
     */
    record Cancel(int attempt, ResultCode reason) implements RequestAction {}

    /** Wait for a bounded time until the revisions reported by a sidecar are active. */
    record AwaitRevisions() implements RequestAction {}

    /**
     * Wait before trying to place the request again.
     *
     * @param millis duration of the wait, in milliseconds
     */
    record AwaitInstance(long millis) implements RequestAction {}

    /**
     * Complete the request. Always the last action, returned exactly once.
     *
     * @param failure the failure to report, empty if the response is complete
     */
    record Complete(Optional<Failure> failure) implements RequestAction {}
}
