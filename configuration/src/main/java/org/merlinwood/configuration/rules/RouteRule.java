package org.merlinwood.configuration.rules;

import org.merlinwood.core.identity.ServiceName;

/**
 * A route to a plain service, one row of the {@code routes} table. The first row that matches a request applies.
 * Immutable.
 *
 * @param method HTTP method in upper case, or {@code *} for any method
 * @param path path that begins with {@code /}; a trailing {@code *} matches any suffix
 * @param service the plain service
 * @param repeatability whether a request may run more than once
 * @param keyDemand whether requests must have an idempotency key
 */
public record RouteRule(
        String method, String path, ServiceName service, Repeatability repeatability, KeyDemand keyDemand) {

    /** Matches any method; as the last character of a path, matches any suffix. */
    public static final String WILDCARD = "*";

    /**
     * Returns whether a request path matches this route.
     *
     * @param requestPath path of the request, without the query string
     * @return true if it matches
     */
    public boolean matchesPath(String requestPath) {
        if (path.endsWith(WILDCARD)) {
            return requestPath.startsWith(path.substring(0, path.length() - 1));
        }
        return requestPath.equals(path);
    }

    /**
     * Returns whether a request method matches this route.
     *
     * @param requestMethod method of the request, in upper case
     * @return true if it matches
     */
    public boolean matchesMethod(String requestMethod) {
        return method.equals(WILDCARD) || method.equals(requestMethod);
    }
}
