package org.merlinwood.decision.suspicion;

/**
 * Size of a suspicion book, for the state dump.
 *
 * @param suspects fingerprints that run alone only
 * @param convicted fingerprints that are refused
 */
public record SuspicionState(int suspects, int convicted) {}
