package org.merlinwood.gateway.front;

import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.gateway.crash.CrashHistory;
import org.merlinwood.gateway.crash.LostRun;
import org.merlinwood.gateway.crash.Suspicion;
import org.merlinwood.gateway.fleet.UpstreamInstance;

/**
 * Records which instances one request may have crashed, and which of those it has not, since they go on to respond.
 * Made by the processor of the request; used by the event loop alone.
 */
final class RunLosses {

    private final RequestProcessor processor;
    private final RequestProcessorContext context;

    RunLosses(RequestProcessor processor) {
        this.processor = processor;
        this.context = processor.context;
    }

    /**
     * Records that the request may have crashed an instance, if the HTTP client reports that a connection was lost. A
     * response that ends in order, but wrongly, was sent by an instance that lives.
     *
     * @param instance the instance
     * @param failure the failure as the HTTP client reports it
     * @param suspicion how much speaks for the request as the cause
     */
    void recordLostConnection(UpstreamInstance instance, Failure failure, Suspicion suspicion) {
        if (!RequestProcessor.isConnectionLost(failure) || failure.executionState() == ExecutionState.NOT_RUN) {
            return;
        }
        long fingerprint = CrashHistory.fingerprint(processor.request);
        context.crashHistory().recordLoss(new LostRun(fingerprint, instance.identifier(), suspicion));
        context.metrics().count(suspicion == Suspicion.STRONG ? "runs_lost_at_their_begin" : "runs_lost_later");
        processor
                .decisionLine("run lost")
                .with("instance", instance.identifier())
                .with("suspicion", suspicion.name())
                .with("blocked", String.valueOf(context.crashHistory().isBlocked(fingerprint)))
                .write();
    }

    /** Records that an instance sent a part of a response: a connection to it that was lost before was no crash. */
    void recordResponding(UpstreamInstance instance) {
        if (context.crashHistory().recordResponding(instance.identifier())) {
            context.metrics().count("runs_lost_at_living_instances");
            processor
                    .decisionLine("connection lost, instance alive")
                    .with("instance", instance.identifier())
                    .write();
        }
    }
}
