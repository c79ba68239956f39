package org.merlinwood.gateway.upstream;

import org.merlinwood.gateway.fleet.UpstreamInstance;

/**
 * A computed prompt, retained by the prefill instance until a decode instance fetches it.
 *
 * @param instance instance that computed and retains the prompt
 * @param handle identifier of the prompt at that instance; valid for one transfer
 */
public record PrefillResult(UpstreamInstance instance, String handle) {}
