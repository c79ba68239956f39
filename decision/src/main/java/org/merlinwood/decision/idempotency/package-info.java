/**
 * Idempotency keys: minting, assignment of keys to instances, and the table of executed requests. The classes do no
 * input or output and get the time from an injected clock.
 */
package org.merlinwood.decision.idempotency;
