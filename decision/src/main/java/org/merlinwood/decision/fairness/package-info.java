/** Fairness between callers of one entry. */
package org.merlinwood.decision.fairness;
