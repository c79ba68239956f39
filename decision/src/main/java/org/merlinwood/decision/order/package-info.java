/** Orders that bring an engine to what the inventory says. Pure, clock injected. */
package org.merlinwood.decision.order;
