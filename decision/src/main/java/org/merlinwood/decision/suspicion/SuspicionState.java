package org.merlinwood.decision.suspicion;

/**
 * Number of entries of a suspicion registry, for the state dump.
 *
 * @param suspects fingerprints that may run only alone on an engine
 * @param convicted fingerprints that are quarantined
 */
public record SuspicionState(int suspects, int convicted) {}
