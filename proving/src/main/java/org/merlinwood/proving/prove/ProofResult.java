package org.merlinwood.proving.prove;

/**
 * The outcome of one proof. Immutable.
 *
 * @param verdict whether the promise held
 * @param detail figures and, after a failure, what was observed
 */
public record ProofResult(Verdict verdict, String detail) {

    /** Returns a result for a promise that held. */
    static ProofResult pass(String detail) {
        return new ProofResult(Verdict.PASS, detail);
    }

    /** Returns a result for a promise that was broken. */
    static ProofResult fail(String detail) {
        return new ProofResult(Verdict.FAIL, detail);
    }

    /** Returns a result for a run that neither confirms nor refutes the promise. */
    static ProofResult unproved(String detail) {
        return new ProofResult(Verdict.UNPROVED, detail);
    }

    /** Returns PASS if the condition holds and FAIL otherwise. */
    static ProofResult of(boolean holds, String detail) {
        return holds ? pass(detail) : fail(detail);
    }
}
