package org.merlinwood.gateway.upstream;

import org.merlinwood.gateway.fleet.UpstreamInstance;

/**
 * A computed prompt that waits at the instance which computed it.
 *
 * @param instance where it waits
 * @param handle names it there; good for one use
 */
public record PrefillResult(UpstreamInstance instance, String handle) {}
