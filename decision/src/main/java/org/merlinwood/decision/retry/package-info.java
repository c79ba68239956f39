/** Bounds on repeated attempts: a budget for the entry's own, and times to come back that spread the callers'. */
package org.merlinwood.decision.retry;
