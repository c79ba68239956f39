package org.merlinwood.decision.placement.impl;

import org.merlinwood.configuration.inventory.Instance;

/**
 * An instance with its rendezvous score. Immutable.
 *
 * @param instance the inventory row
 * @param distance distance from the entry
 * @param score selection score; instances with higher scores are selected first
 */
public record ScoredInstance(Instance instance, Distance distance, double score) {}
