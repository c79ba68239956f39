/** The clock of the system: milliseconds, monotonic for decisions and wall time for display only. */
package org.merlinwood.core.time;
