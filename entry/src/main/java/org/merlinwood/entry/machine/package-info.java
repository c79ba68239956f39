/** State machines of one request each: events in, actions out, without transport, clock or thread. */
package org.merlinwood.entry.machine;
