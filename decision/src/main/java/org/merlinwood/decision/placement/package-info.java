/** Placement: chooses the instance of a pool for the next attempt from the load that one entry has observed. */
package org.merlinwood.decision.placement;
