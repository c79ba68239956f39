package org.merlinwood.proving.prove;

/**
 * One line of the proofs.
 *
 * @param name name of the promise, or of a part of it
 * @param body provokes the failures and judges
 */
record Proof(String name, Body body) {

    /** Carries a proof out. */
    interface Body {

        /**
         * Provokes the failures and judges by the ledgers.
         *
         * @param bench the fleet and the callers
         * @return the outcome
         * @throws InterruptedException if the process is asked to end
         */
        ProofResult carryOut(Workbench bench) throws InterruptedException;
    }

    /** A promise that has no proof yet. */
    static Proof missing(String name, String why) {
        return new Proof(name, bench -> ProofResult.unproved(why));
    }
}
