package org.merlinwood.proving.prove;

/**
 * Outcome of one proof. Immutable.
 *
 * @param verdict what it says
 * @param detail figures and, where it failed, what was seen
 */
public record ProofResult(Verdict verdict, String detail) {

    /** The promise held. */
    static ProofResult pass(String detail) {
        return new ProofResult(Verdict.PASS, detail);
    }

    /** The promise was broken. */
    static ProofResult fail(String detail) {
        return new ProofResult(Verdict.FAIL, detail);
    }

    /** The run showed nothing. */
    static ProofResult unproved(String detail) {
        return new ProofResult(Verdict.UNPROVED, detail);
    }

    /** Passes where a condition holds. */
    static ProofResult of(boolean holds, String detail) {
        return holds ? pass(detail) : fail(detail);
    }
}
