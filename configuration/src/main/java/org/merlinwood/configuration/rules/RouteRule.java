package org.merlinwood.configuration.rules;

import org.merlinwood.core.identity.ServiceName;

/**
 * One row of the table of routes of plain services. Immutable. The first row that matches wins.
 *
 * @param method HTTP method in capitals, or {@code *} for any
 * @param path path that begins with {@code /}; a final {@code *} matches any rest
 * @param service the plain service
 * @param repeatability whether the call may be sent more than once
 * @param keyDemand whether callers have to send an idempotency key
 */
public record RouteRule(
        String method, String path, ServiceName service, Repeatability repeatability, KeyDemand keyDemand) {

    /** Matches any method, or as the last character of a path any rest of it. */
    public static final String WILDCARD = "*";

    /**
     * Tells whether the path of a request belongs to this row.
     *
     * @param requestPath path of the request, without the query
     * @return true if it matches
     */
    public boolean matchesPath(String requestPath) {
        if (path.endsWith(WILDCARD)) {
            return requestPath.startsWith(path.substring(0, path.length() - 1));
        }
        return requestPath.equals(path);
    }

    /**
     * Tells whether the method of a request belongs to this row.
     *
     * @param requestMethod method of the request in capitals
     * @return true if it matches
     */
    public boolean matchesMethod(String requestMethod) {
        return method.equals(WILDCARD) || method.equals(requestMethod);
    }
}
