package org.merlinwood.decision.admission;

import org.merlinwood.core.result.Failure;

/** Result of an admission check. Immutable. */
public sealed interface AdmissionDecision {

    /**
     * The request may be placed.
     *
     * @param waitMillis longest wait for a decode grant with which the request still meets its target, in milliseconds
     */
    record Admit(long waitMillis) implements AdmissionDecision {}

    /**
     * The request is refused.
     *
     * @param failure the failure to return to the caller, with a retry-after time
     */
    record Refuse(Failure failure) implements AdmissionDecision {}
}
