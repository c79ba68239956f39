package org.merlinwood.gateway.upstream;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Conditions under which a request is sent to one instance. Immutable.
 *
 * @param timeLeftMillis remaining time for the instance, in milliseconds; empty if the caller set no deadline
 * @param reservation identifier of a memory reservation to use; empty if none was made
 * @param prefill computed prompt to fetch; empty if the instance computes the prompt itself
 * @param lastEvent number of the last received event, after which the stream resumes; empty to start at the first event
 */
public record AttemptTerms(
        OptionalLong timeLeftMillis,
        Optional<String> reservation,
        Optional<PrefillResult> prefill,
        OptionalLong lastEvent) {}
