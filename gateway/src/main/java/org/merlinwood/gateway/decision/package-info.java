/** Decisions about requests: pure, with the clock injected, without input or output of their own. */
package org.merlinwood.gateway.decision;
