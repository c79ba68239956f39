/**
 * Soak test: runs entries as processes under faults determined by a seed, and compares the responses that callers
 * observe with the runs of the instances.
 */
package org.merlinwood.proving.soak;
