/** Demo and proofs: whole fleets of real processes against the stand-ins. */
package org.merlinwood.proving;
