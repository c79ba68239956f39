/**
 * State machines that decide the steps of a single request. They turn events into actions and use no transport, clock
 * or thread.
 */
package org.merlinwood.entry.machine;
