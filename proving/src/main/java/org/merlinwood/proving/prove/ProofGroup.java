package org.merlinwood.proving.prove;

import java.util.List;
import org.merlinwood.proving.fleet.FleetPlan;

/**
 * Proofs that share one fleet, which is repaired between them.
 *
 * @param plan the fleet
 * @param proofs the proofs in the sequence in which they run
 */
record ProofGroup(FleetPlan plan, List<Proof> proofs) {

    /** Copies the list. */
    ProofGroup {
        proofs = List.copyOf(proofs);
    }
}
