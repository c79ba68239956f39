/** Orders that bring the state of an engine in line with the inventory. Free of I/O; the clock is injected. */
package org.merlinwood.decision.order;
