/** Placement: which instance of a pool takes the next request, judged from what one entry knows. */
package org.merlinwood.decision.placement;
