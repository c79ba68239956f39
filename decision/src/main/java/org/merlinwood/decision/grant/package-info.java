/** Admission at one upstream: grants, their lapse, and the queue of those that wait for one. Pure, clock injected. */
package org.merlinwood.decision.grant;
