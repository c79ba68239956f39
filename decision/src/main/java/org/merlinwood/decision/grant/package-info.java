/**
 * Admission control for one upstream: grants, their expiry, and the queue of demands that wait for a grant. The classes
 * do no input or output and get the time from an injected clock.
 */
package org.merlinwood.decision.grant;
