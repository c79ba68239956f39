/**
 * Admission: decides, before any upstream works on a request, whether the request can still meet the targets of its
 * class.
 */
package org.merlinwood.decision.admission;
