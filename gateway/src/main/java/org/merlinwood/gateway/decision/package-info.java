/** Routing, retry, admission and shutdown decisions of an entry. No I/O; time comes from an injected clock. */
package org.merlinwood.gateway.decision;
