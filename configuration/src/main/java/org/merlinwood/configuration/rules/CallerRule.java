package org.merlinwood.configuration.rules;

import org.merlinwood.core.identity.CallerName;

/**
 * A caller, one row of the {@code callers} table. Immutable.
 *
 * @param name name of the caller
 * @param callerClass name of its class
 * @param tokenDigest SHA-256 digest of the bearer token, as 64 lower-case hexadecimal digits
 */
public record CallerRule(CallerName name, String callerClass, String tokenDigest) {}
