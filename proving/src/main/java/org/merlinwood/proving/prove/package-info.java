/** Proofs of the promises with real processes, checked against the ledgers of the stand-ins. */
package org.merlinwood.proving.prove;
