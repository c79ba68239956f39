package org.merlinwood.entry.request;

import org.merlinwood.configuration.rules.CallerClass;
import org.merlinwood.core.identity.CallerName;

/**
 * A request whose caller and deadline are known. Immutable.
 *
 * @param accepted the request
 * @param caller name of the caller
 * @param callerClass class of the caller
 * @param deadlineMillis monotonic time after which the caller no longer waits for the response, in milliseconds
 */
public record IdentifiedRequest(
        AcceptedRequest accepted, CallerName caller, CallerClass callerClass, long deadlineMillis) {}
