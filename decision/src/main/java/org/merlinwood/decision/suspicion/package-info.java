/** Requests that may crash engines: suspicion, isolation, conviction. Pure, clock injected. */
package org.merlinwood.decision.suspicion;
