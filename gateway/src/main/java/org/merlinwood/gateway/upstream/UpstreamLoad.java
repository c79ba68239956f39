package org.merlinwood.gateway.upstream;

/**
 * Load that an instance reports with a response.
 *
 * @param running number of running requests
 * @param waiting number of waiting requests
 * @param slots number of requests that the instance runs concurrently
 */
public record UpstreamLoad(int running, int waiting, int slots) {}
