package org.merlinwood.gateway.upstream;

/**
 * Load that an instance reports with a response. The figures are those of the instance, which may state absurd ones.
 *
 * @param running number of running requests
 * @param waiting number of waiting requests
 * @param slots number of requests that the instance runs concurrently
 * @param workPercent how long work takes there at this moment, in percent of the usual time; 0 if the instance does not
 *     report it
 */
public record UpstreamLoad(int running, int waiting, int slots, int workPercent) {

    /**
     * Creates the load of an instance that does not report how long work takes there.
     *
     * @param running number of running requests
     * @param waiting number of waiting requests
     * @param slots number of requests that the instance runs concurrently
     */
    public UpstreamLoad(int running, int waiting, int slots) {
        this(running, waiting, slots, 0);
    }
}
