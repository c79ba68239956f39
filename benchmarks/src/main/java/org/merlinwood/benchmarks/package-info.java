/** Benchmarks of the hot decisions, and the slopes of memory and messages that {@code docs/CAPACITY.md} uses. */
package org.merlinwood.benchmarks;
