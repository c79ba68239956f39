/** Isolation and quarantine of requests that may crash engines. Free of I/O; the clock is injected. */
package org.merlinwood.decision.suspicion;
