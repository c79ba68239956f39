/**
 * Executes the state machines. Pools and budgets are used on the control thread, exchanges with sidecars run on event
 * loops.
 */
package org.merlinwood.entry.dispatch;
