package org.merlinwood.decision.placement.impl;

import org.merlinwood.configuration.inventory.Instance;

/**
 * An instance with its rendezvous score. Immutable.
 *
 * @param instance the row of the inventory
 * @param distance how far it is from the entry
 * @param score the higher the sooner it is a candidate
 */
public record ScoredInstance(Instance instance, Distance distance, double score) {}
