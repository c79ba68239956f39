package org.merlinwood.decision.placement;

/**
 * What an entry expects of the best instance of a pool. Immutable.
 *
 * @param waitMillis predicted wait until the instance begins, in milliseconds
 * @param serviceMillis predicted work until the instance is done with the prompt, in milliseconds; 0 for decode and
 *     plain pools
 */
public record PlacementForecast(long waitMillis, long serviceMillis) {

    /** Nothing to wait for. */
    public static final PlacementForecast IMMEDIATE = new PlacementForecast(0, 0);
}
