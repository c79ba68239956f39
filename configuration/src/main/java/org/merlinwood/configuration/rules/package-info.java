/** Immutable values of the rules: services, routes, caller classes, callers and limits. */
package org.merlinwood.configuration.rules;
