/** Limits on retries: a budget for the entry's own retries, and randomized retry-after times for callers. */
package org.merlinwood.decision.retry;
