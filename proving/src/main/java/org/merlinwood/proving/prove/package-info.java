/** Proofs of the promises against real processes, each judged by the stand-ins' ledgers. */
package org.merlinwood.proving.prove;
