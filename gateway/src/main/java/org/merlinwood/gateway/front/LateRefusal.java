package org.merlinwood.gateway.front;

import java.util.Optional;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.decision.DeadlineAdmission;
import org.merlinwood.gateway.decision.MemoryWaitPolicy;

/** Refuses plain requests whose response would be late at every instance. Used by the event loop alone. */
final class LateRefusal {

    private LateRefusal() {}

    /**
     * Refuses a request that was not sent to any instance yet, if its response would be late at every one. Called once
     * for each request.
     *
     * @param processor processes the request
     * @return whether the request was refused
     */
    static boolean refuseIfLate(RequestProcessor processor) {
        long targetLeftMillis =
                Math.min(processor.route.targetMillis() - processor.elapsedMillis(), processor.timeLeftMillis());
        DeadlineAdmission admission = processor.context.pool().plainForecasts().admission();
        Optional<DeadlineAdmission.Refusal> refusal = admission.check(
                processor.service, processor.priority(), processor.route.targetMillis(), targetLeftMillis);
        refusal.ifPresent(late -> refuse(processor, late, targetLeftMillis));
        return refusal.isPresent();
    }

    private static void refuse(RequestProcessor processor, DeadlineAdmission.Refusal late, long targetLeftMillis) {
        processor.context.metrics().count("plain_requests_refused_as_late_priority_" + processor.priority());
        processor.fail(
                ResultCode.DEADLINE_UNREACHABLE,
                MemoryWaitPolicy.retryAfterMillis(
                        late.excessMillis(),
                        processor.timeLeftMillis(),
                        processor.context.clock().monotonicMillis()),
                "response expected after " + late.expectedMillis() + " ms at the earliest, with " + targetLeftMillis
                        + " ms left to the target");
    }
}
