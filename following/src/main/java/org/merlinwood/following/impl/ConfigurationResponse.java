package org.merlinwood.following.impl;

/** Outcome of one request to the configuration service. */
public sealed interface ConfigurationResponse {

    /**
     * The service has a higher revision than the known one.
     *
     * @param revision the revision of the document
     * @param text the whole text of the document
     */
    record Published(long revision, String text) implements ConfigurationResponse {}

    /** No higher revision was published within the wait time. */
    record Unchanged() implements ConfigurationResponse {}

    /**
     * The service rejected the request because its rate limit was exceeded.
     *
     * @param retryAfterMillis delay before the next request in milliseconds, 0 if the service named none
     */
    record Busy(long retryAfterMillis) implements ConfigurationResponse {}

    /**
     * The service could not be reached, or its response could not be parsed.
     *
     * @param detail the cause, for logs
     */
    record Unavailable(String detail) implements ConfigurationResponse {}
}
