/** Traces: their records, their files and the seeded generator. */
package org.merlinwood.replay.trace;
