package org.merlinwood.gateway.front;

import java.util.List;
import java.util.Optional;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.crash.PartFingerprints;
import org.merlinwood.gateway.crash.Suspicion;
import org.merlinwood.gateway.decision.AttemptOutcome;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.request.Prompt;
import org.merlinwood.gateway.upstream.CollectedBody;
import org.merlinwood.gateway.upstream.PrefillResult;
import org.merlinwood.gateway.upstream.ResponseHead;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpListener;
import org.merlinwood.http.HttpStream;
import org.merlinwood.operation.log.DecisionLog;

/**
 * One attempt to get the response of a stream from one instance: reads its response, forwards complete events, and
 * tells the processor how it ended. What follows is decided there, and by {@link OpenAttempts} which of two goes on.
 * Used by the event loop alone.
 */
final class GenerationAttempt implements HttpListener {

    /** Number of parts of a response after which the instance is known to survive the beginning of the response. */
    private static final int SURVIVED_EVENT_COUNT = 4;

    /** Status of a stream; other responses with a status of success have no body. */
    private static final int OK = 200;

    /** Method of requests whose responses have no body. */
    private static final String HEAD_METHOD = "HEAD";

    private final StreamRequestProcessor processor;
    private final OpenAttempts attempts;
    private final RequestProcessorContext context;
    private final StreamResponse response;
    private final Prompt prompt;
    private final UpstreamInstance instance;
    private final Optional<PrefillResult> prefillUsed;
    private final CollectedBody body;

    /** Cancels this attempt, whichever of two it is; empty while it is being sent. */
    private Optional<HttpStream> stream = Optional.empty();

    private ResponseHead head;
    private boolean streaming;
    private final long sentMillis;
    private long firstEventElapsedMillis = -1;
    private long firstEventAtMillis;
    private int eventCount;

    /**
     * Creates an attempt that is sent now.
     *
     * @param processor processes the request
     * @param attempts the open attempts, of which this one is to be one
     * @param response receives the events
     * @param prompt the prompt
     * @param instance the instance
     * @param prefillUsed the computed prompt that the instance is to use, empty if it computes the prompt itself
     */
    GenerationAttempt(
            StreamRequestProcessor processor,
            OpenAttempts attempts,
            StreamResponse response,
            Prompt prompt,
            UpstreamInstance instance,
            Optional<PrefillResult> prefillUsed) {
        this.processor = processor;
        this.attempts = attempts;
        this.context = processor.context;
        this.response = response;
        this.prompt = prompt;
        this.instance = instance;
        this.prefillUsed = prefillUsed;
        this.body = processor.collectBody();
        this.sentMillis = context.clock().monotonicMillis();
    }

    void sent(HttpStream sentStream) {
        stream = Optional.of(sentStream);
    }

    UpstreamInstance instance() {
        return instance;
    }

    Optional<PrefillResult> prefillUsed() {
        return prefillUsed;
    }

    /** Returns the head of the response; null before it has come. */
    ResponseHead head() {
        return head;
    }

    /** Returns the body of a response that is not forwarded as a stream. */
    byte[] body() {
        return body.toByteArray();
    }

    /** Returns the mean time between events in milliseconds, at least 1; a measure of the instance's speed. */
    long millisPerEvent() {
        long streamedMillis = context.clock().monotonicMillis() - firstEventAtMillis;
        return Math.max(1, streamedMillis / Math.max(1, eventCount));
    }

    /** Returns the time from sending the attempt to its first event, in milliseconds, at least 1. */
    long millisToFirstEvent() {
        return Math.max(1, firstEventAtMillis - sentMillis);
    }

    /** Adds what the complete response was like to a log line, and returns the line. */
    DecisionLog.Line addResponse(DecisionLog.Line line, int generatedTokens) {
        return line.with("status", head.status())
                .with("instance", instance.identifier())
                .with("events", eventCount)
                .with("generatedTokens", generatedTokens)
                .with("lengthHint", prompt.lengthHint().orElse(-1))
                .with("longestTokens", prompt.outputTokens())
                .with("firstEventMillis", firstEventElapsedMillis);
    }

    @Override
    public void onHead(int status, List<HttpHeader> headers) {
        attempts.recordReceived();
        head = context.protocol().readHead(status, headers);
        head.load().ifPresent(load -> context.pool().recordLoad(instance.identifier(), load));
        streaming = head.success() && processor.belongsToRequest(head);
        if (!processor.mayBeDelivered(head)) {
            body.discard();
        }
        if (streaming) {
            attempts.onAccepted(this);
        } else {
            attempts.onRefused(this);
        }
    }

    @Override
    public void onBytes(byte[] bytes) {
        attempts.recordReceived();
        if (!streaming) {
            collect(bytes);
            return;
        }
        forward(response.events().split(bytes));
        if (response.events().isMalformed()) {
            endMalformedAttempt("an event has a line that is no field");
        } else if (response.events().exceedsLimit()) {
            endMalformedAttempt("an event exceeds " + EventSplitter.MAXIMUM_EVENT_BYTES + " bytes");
        }
    }

    /** Ends this attempt, and its request, in the middle of its response. */
    private void endMalformedAttempt(String reason) {
        endFailedAttempt(Failure.of(ResultCode.UPSTREAM_MALFORMED, reason));
        stream.ifPresent(HttpStream::cancel);
    }

    /** Collects the body of a response that is not a stream, if it may be passed on to the caller. */
    private void collect(byte[] bytes) {
        switch (body.add(bytes)) {
            case READ_ON -> {}
            case STOP -> {
                onEnd();
                stream.ifPresent(HttpStream::cancel);
            }
            case TOO_LARGE -> {
                endFailedAttempt(RequestProcessor.tooLarge());
                stream.ifPresent(HttpStream::cancel);
            }
        }
    }

    private void forward(byte[] completeEvents) {
        if (completeEvents.length == 0 || processor.isFinished()) {
            return;
        }
        if (!processor.mayForwardEventsOf(instance)) {
            endMalformedAttempt("the instance runs another version now");
            return;
        }
        processor.onEvents();
        eventCount++;
        context.crashCausingParts().recordResponding(instance);
        processor.losses.recordResponding(instance);
        if (firstEventElapsedMillis < 0) {
            recordFirstEvent();
        }
        response.write(head, completeEvents);
    }

    private void recordFirstEvent() {
        firstEventElapsedMillis = processor.elapsedMillis();
        firstEventAtMillis = context.clock().monotonicMillis();
        context.crashCausingParts().recordBegun(processor.sharedParts);
        context.metrics().recordDuration("first_event_milliseconds", firstEventElapsedMillis);
    }

    @Override
    public void onEnd() {
        attempts.recordReceived();
        if (streaming && response.events().isInsideEvent()) {
            endFailedAttempt(Failure.of(ResultCode.UPSTREAM_TRUNCATED, "the response ended inside an event"));
            return;
        }
        if (streaming && eventCount == 0 && !mayBeEmpty()) {
            endFailedAttempt(Failure.of(ResultCode.UPSTREAM_MALFORMED, "the response ended without an event"));
            return;
        }
        if (streaming) {
            processor.completeStream(this);
            return;
        }
        processor.onAttemptEnded(this, classifyOutcome());
    }

    /**
     * Returns whether a response without an event may be complete: the rest of a stream of which the caller has the
     * last event, or the response to a request that asks for a head alone.
     */
    private boolean mayBeEmpty() {
        boolean rest = head.status() == OK && response.lastDeliveredEvent().isPresent();
        return rest || processor.request.method().equals(HEAD_METHOD);
    }

    private AttemptOutcome classifyOutcome() {
        if (head.notRun()) {
            AttemptOutcome.Declined declined = new AttemptOutcome.Declined(head.status());
            if (declined.misdirected()) {
                context.pool().recordFailure(instance.identifier());
            }
            return declined;
        }
        context.pool().recordErrorResponse(instance.identifier());
        if (!processor.belongsToRequest(head) || response.started()) {
            return new AttemptOutcome.Broken(
                    Failure.of(ResultCode.UPSTREAM_MALFORMED, "the response does not belong to this request"));
        }
        return new AttemptOutcome.Answered(head.status());
    }

    @Override
    public void onFailure(Failure failure) {
        if (!processor.isFinished() && attempts.isOpen(this)) {
            processor.losses.recordLostConnection(
                    instance, failure, eventCount < SURVIVED_EVENT_COUNT ? Suspicion.STRONG : Suspicion.WEAK);
            endFailedAttempt(failure);
        }
    }

    /** Ends this attempt without a valid response; does nothing if it has ended before. */
    private void endFailedAttempt(Failure failure) {
        if (processor.isFinished() || !attempts.isOpen(this)) {
            return;
        }
        if (!attempts.isReplacementOfOpenAttempt(this)) {
            response.events().discardIncomplete();
        }
        recordLostGeneration(failure);
        body.release();
        processor.onAttemptEnded(this, processor.recordFailedAttempt(instance, failure));
    }

    /** Records a lost connection; the request is a suspect if its response had not begun. */
    private void recordLostGeneration(Failure failure) {
        if (failure.code() != ResultCode.CONNECTION_LOST && failure.code() != ResultCode.UPSTREAM_TRUNCATED) {
            return;
        }
        boolean suspect = firstEventElapsedMillis < 0;
        processor
                .decisionLine("generation lost")
                .with("instance", instance.identifier())
                .with("suspect", String.valueOf(suspect))
                .with("parts", PartFingerprints.describe(prompt))
                .write();
        context.metrics().count(suspect ? "generations_lost_before_first_event" : "generations_lost_after_first_event");
        context.crashCausingParts().recordLoss(instance, sentMillis, suspect ? processor.sharedParts : List.of());
    }
}
