package org.merlinwood.replay.trace;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** One line of a trace after the first. Immutable. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = TraceEvent.ModelRequest.class, name = "MODEL"),
    @JsonSubTypes.Type(value = TraceEvent.PlainRequest.class, name = "PLAIN"),
    @JsonSubTypes.Type(value = TraceEvent.DomainLost.class, name = "DOMAIN_LOST")
})
public sealed interface TraceEvent {

    /**
     * Returns when the event happens.
     *
     * @return milliseconds from the start of the trace
     */
    long atMillis();

    /**
     * A request to the model. The prompt begins with a part that other requests share, and goes on with a thread of its
     * own.
     *
     * @param atMillis when it is sent, in milliseconds
     * @param caller name of the caller
     * @param callerClass name of its class
     * @param promptTokens length of the prompt, in tokens
     * @param sharedPrefix name of the shared part
     * @param sharedTokens length of the shared part, in tokens
     * @param thread name of the thread; the same thread has the same text
     * @param outputTokens length of the answer, in tokens
     * @param maximumTokens length of the answer at most, as the caller states it, in tokens
     */
    record ModelRequest(
            long atMillis,
            String caller,
            String callerClass,
            int promptTokens,
            String sharedPrefix,
            int sharedTokens,
            String thread,
            int outputTokens,
            int maximumTokens)
            implements TraceEvent {}

    /**
     * A call of the plain service.
     *
     * @param atMillis when it is sent, in milliseconds
     * @param caller name of the caller
     * @param callerClass name of its class
     */
    record PlainRequest(long atMillis, String caller, String callerClass) implements TraceEvent {}

    /**
     * All upstreams of a failure domain end, for the rest of the trace.
     *
     * @param atMillis when, in milliseconds
     * @param failureDomain the failure domain
     */
    record DomainLost(long atMillis, String failureDomain) implements TraceEvent {}
}
