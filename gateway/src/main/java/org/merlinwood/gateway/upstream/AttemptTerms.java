package org.merlinwood.gateway.upstream;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Under which terms a request is sent to one instance.
 *
 * @param timeLeftMillis time that the instance has, in milliseconds; empty where the caller set no limit
 * @param reservation reserved memory to use
 * @param prefill computed prompt to take over
 * @param lastEvent number of the event behind which the answer begins
 */
public record AttemptTerms(
        OptionalLong timeLeftMillis,
        Optional<String> reservation,
        Optional<PrefillResult> prefill,
        OptionalLong lastEvent) {}
