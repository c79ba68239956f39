package org.merlinwood.gateway.decision;

import java.util.Optional;

/**
 * An attempt of a plain request at an instance that has not ended. Whoever sends it reports its response, or that it
 * will have no response, and its end, to {@link InstancePool}. Confined to the event loop.
 */
public final class ActivePlainAttempt {

    private final String instance;
    private final long startedMillis;
    private final Optional<CompletionForecast> forecast;
    private boolean responsePossible = true;

    ActivePlainAttempt(String instance, long startedMillis, Optional<CompletionForecast> forecast) {
        this.instance = instance;
        this.startedMillis = startedMillis;
        this.forecast = forecast;
    }

    /**
     * Returns when the attempt was expected to complete, as of its start.
     *
     * @return the forecast; empty if the instance doesn't report its speed
     */
    public Optional<CompletionForecast> forecast() {
        return forecast;
    }

    /** Returns the identifier of the instance. */
    String instance() {
        return instance;
    }

    /** Returns the monotonic time of the start, in milliseconds. */
    long startedMillis() {
        return startedMillis;
    }

    /** Records that the head of the response was read, or that there will be none. */
    void excludeFurtherResponse() {
        responsePossible = false;
    }

    /** Returns whether the instance may send a response whose head was not read yet. */
    boolean responsePossible() {
        return responsePossible;
    }
}
