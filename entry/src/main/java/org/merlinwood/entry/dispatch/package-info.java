/** Runs the state machines: pools and budgets on the control thread, exchanges with sidecars on event loops. */
package org.merlinwood.entry.dispatch;
