/** Idempotency keys: minting, the instance that a key is bound to, and the table of what ran. Pure, clock injected. */
package org.merlinwood.decision.idempotency;
