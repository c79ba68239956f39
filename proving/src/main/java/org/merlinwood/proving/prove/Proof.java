package org.merlinwood.proving.prove;

/**
 * A proof of one promise or of one part of it.
 *
 * @param name the printed name of the promise or of its part
 * @param body injects the failures and checks the outcome
 */
record Proof(String name, Body body) {

    /** The steps of a proof. */
    interface Body {

        /**
         * Injects the failures and checks the outcome against the ledgers.
         *
         * @param context the fleet, the client and the random choices
         * @return the outcome
         * @throws InterruptedException if the thread is interrupted
         */
        ProofResult execute(ProofContext context) throws InterruptedException;
    }

    /** Returns a placeholder for a promise without a proof; its result is always UNPROVED. */
    static Proof missing(String name, String why) {
        return new Proof(name, context -> ProofResult.unproved(why));
    }
}
