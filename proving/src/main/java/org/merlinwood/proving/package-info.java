/** Demo, proofs, soak test and overhead measurement, run with real processes against the stand-ins. */
package org.merlinwood.proving;
