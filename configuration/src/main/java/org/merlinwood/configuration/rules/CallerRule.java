package org.merlinwood.configuration.rules;

import org.merlinwood.core.identity.CallerName;

/**
 * One row of the table of callers. Immutable.
 *
 * @param name the caller
 * @param callerClass name of its class
 * @param tokenDigest SHA-256 of the bearer token, 64 hexadecimal digits in lower case
 */
public record CallerRule(CallerName name, String callerClass, String tokenDigest) {}
