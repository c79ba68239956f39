/** Trace records, trace files and the seeded trace generator. */
package org.merlinwood.replay.trace;
