package org.merlinwood.following.impl;

/** Answer of the configuration service. */
public sealed interface ConfigurationResponse {

    /**
     * A document.
     *
     * @param revision its revision
     * @param text its text
     */
    record Published(long revision, String text) implements ConfigurationResponse {}

    /** There is no higher revision. */
    record Unchanged() implements ConfigurationResponse {}

    /**
     * The service is over its rate.
     *
     * @param retryAfterMillis when to come back, 0 if it did not say
     */
    record Busy(long retryAfterMillis) implements ConfigurationResponse {}

    /**
     * The service could not be reached, or answered what can't be understood.
     *
     * @param detail one sentence
     */
    record Unavailable(String detail) implements ConfigurationResponse {}
}
