/**
 * Benchmarks of frequent decisions, and the memory and message sizes per unit of load that {@code docs/CAPACITY.md}
 * uses.
 */
package org.merlinwood.benchmarks;
