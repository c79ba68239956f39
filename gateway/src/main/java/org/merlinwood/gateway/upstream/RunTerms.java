package org.merlinwood.gateway.upstream;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Under which terms a request is sent to one instance.
 *
 * @param timeLeftMillis time that the instance has, in milliseconds; empty where the caller set no limit
 * @param hold reserved memory to use
 * @param prefill computed prompt to take over
 * @param lastEvent number of the event behind which the answer begins
 */
public record RunTerms(
        OptionalLong timeLeftMillis, Optional<String> hold, Optional<PrefillResult> prefill, OptionalLong lastEvent) {}
