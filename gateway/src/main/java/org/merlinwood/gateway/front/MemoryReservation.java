package org.merlinwood.gateway.front;

import org.merlinwood.gateway.fleet.UpstreamInstance;

/**
 * A slot and memory that an instance keeps for a request.
 *
 * @param instance the instance
 * @param identifier the instance's name for the reservation
 */
record MemoryReservation(UpstreamInstance instance, String identifier) {}
