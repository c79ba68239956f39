/** Admission: whether a request can still meet the targets of its class, judged before any upstream works for it. */
package org.merlinwood.decision.admission;
