package org.merlinwood.proving.prove;

/** Whether a proof confirmed its promise. Printed by name. */
public enum Verdict {
    /** The promise held under the failures of the proof. */
    PASS,
    /** The promise was broken, or the proof could not be run. */
    FAIL,
    /** There is no proof yet, or its run did not bring about the failure. */
    UNPROVED
}
