package org.merlinwood.decision.placement;

/**
 * Predicted wait and prefill time at the best instance of a pool. Immutable.
 *
 * @param waitMillis predicted wait until the instance starts the request, in milliseconds
 * @param serviceMillis predicted time to prefill the prompt, in milliseconds; 0 for decode and plain pools
 */
public record PlacementForecast(long waitMillis, long serviceMillis) {

    /** The instance starts the request immediately. */
    public static final PlacementForecast IMMEDIATE = new PlacementForecast(0, 0);
}
