package org.merlinwood.decision.admission;

import org.merlinwood.core.result.Failure;

/** Outcome of an admission. Immutable. */
public sealed interface AdmissionDecision {

    /**
     * The request may be placed.
     *
     * @param waitMillis how long it may wait for a decode grant and still meet its target, in milliseconds
     */
    record Admit(long waitMillis) implements AdmissionDecision {}

    /**
     * The request gets its final answer now.
     *
     * @param failure the answer, with a time to come back
     */
    record Refuse(Failure failure) implements AdmissionDecision {}
}
