package org.merlinwood.gateway.front;

import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.upstream.PrefillResult;
import org.merlinwood.http.HttpRequest;

/** Releases what one request holds at upstreams and does not use. Used by the event loop alone. */
final class CapacityReleaser {

    private final RequestProcessor processor;
    private final RequestProcessorContext context;

    /**
     * Creates a releaser.
     *
     * @param processor processes the request; writes its log lines
     */
    CapacityReleaser(RequestProcessor processor) {
        this.processor = processor;
        this.context = processor.context;
    }

    void release(MemoryReservation unused) {
        send(
                unused.instance(),
                context.protocol().releaseReservation(unused.instance(), unused.identifier()),
                "reservation not released");
    }

    void release(PrefillResult unused) {
        send(unused.instance(), context.protocol().releasePrefill(unused), "prompt not released");
    }

    /** Sends a release, except to an instance that wants no request now: there the lease ends by itself. */
    private void send(UpstreamInstance instance, HttpRequest releaseRequest, String failureDecision) {
        if (context.pool().notices().isDeclining(instance)) {
            logFailure(failureDecision, instance, "the instance wants no request now");
            return;
        }
        context.client()
                .execute(
                        instance,
                        releaseRequest,
                        result -> result.peekLeft(failure -> logFailure(failureDecision, instance, failure.detail())));
    }

    private void logFailure(String decision, UpstreamInstance instance, String reason) {
        processor
                .decisionLine(decision)
                .with("instance", instance.identifier())
                .with("reason", reason)
                .write();
    }
}
