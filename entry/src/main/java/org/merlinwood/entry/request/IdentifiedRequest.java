package org.merlinwood.entry.request;

import org.merlinwood.configuration.rules.CallerClass;
import org.merlinwood.core.identity.CallerName;

/**
 * A request whose caller and deadline are known. Immutable.
 *
 * @param accepted the request
 * @param caller who sent it
 * @param callerClass class of the caller
 * @param deadlineMillis monotonic time after which the caller does not wait any more, in milliseconds
 */
public record IdentifiedRequest(
        AcceptedRequest accepted, CallerName caller, CallerClass callerClass, long deadlineMillis) {}
