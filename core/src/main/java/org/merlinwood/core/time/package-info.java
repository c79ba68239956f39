/** Clocks in milliseconds: monotonic time for decisions, wall time for logs and keys that contain a time. */
package org.merlinwood.core.time;
