/** HTTP server for callers, based on Undertow. Reads requests, writes responses and detects disconnected callers. */
package org.merlinwood.entry.caller;
