package org.merlinwood.proving.prove;

/** What a proof says about its promise. */
public enum Verdict {
    /** The promise held under the failures of the proof. */
    PASS,
    /** The promise was broken, or the proof could not be carried out. */
    FAIL,
    /** There is no proof yet, or its run provoked nothing. */
    UNPROVED
}
