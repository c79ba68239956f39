package org.merlinwood.entry.machine;

import java.util.Optional;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.wire.CacheHandle;

/** What is to be done for a request. Immutable. */
public sealed interface RequestAction {

    /**
     * Ask a sidecar for a grant.
     *
     * @param attempt number of the attempt
     * @param role the kind of work
     * @param instance whose sidecar is asked
     */
    record RequestGrant(int attempt, InstanceRole role, Instance instance) implements RequestAction {}

    /**
     * Execute the prefill of a granted attempt.
     *
     * @param attempt number of the attempt
     */
    record ExecutePrefill(int attempt) implements RequestAction {}

    /**
     * Execute the decode of a granted attempt, behind the tokens that the caller has.
     *
     * @param attempt number of the attempt
     * @param cache result of the prefill, empty where the decode engine has to prefill on its own
     */
    record ExecuteDecode(int attempt, Optional<CacheHandle> cache) implements RequestAction {}

    /**
     * Execute the plain call of a granted attempt.
     *
     * @param attempt number of the attempt
     */
    record ExecutePlain(int attempt) implements RequestAction {}

    /**
     * Give back a grant that was not used.
     *
     * @param attempt number of the attempt
     */
    record Release(int attempt) implements RequestAction {}

    /**
     * Cancel an attempt whatever its state; a grant that still arrives is given back.
     *
     * @param attempt number of the attempt
     * @param reason why
     */
    record Cancel(int attempt, ResultCode reason) implements RequestAction {}

    /** Wait until the revisions that a sidecar told of are in force, for a bounded time. */
    record AwaitRevisions() implements RequestAction {}

    /**
     * Wait before an instance is looked for again.
     *
     * @param millis how long, in milliseconds
     */
    record AwaitInstance(long millis) implements RequestAction {}

    /**
     * End the request. Always the last action, and given once.
     *
     * @param failure the final answer, empty if the caller got the whole answer
     */
    record Settle(Optional<Failure> failure) implements RequestAction {}
}
