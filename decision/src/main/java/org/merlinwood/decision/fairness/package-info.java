/** Fair sharing of one entry between its callers. */
package org.merlinwood.decision.fairness;
