/** Signals and graceful shutdown of a process. */
package org.merlinwood.operation.lifecycle;
