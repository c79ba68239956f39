package org.merlinwood.replay.trace;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** An event of a trace: one line of the file after the header. Immutable. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = TraceEvent.ModelRequest.class, name = "MODEL"),
    @JsonSubTypes.Type(value = TraceEvent.PlainRequest.class, name = "PLAIN"),
    @JsonSubTypes.Type(value = TraceEvent.DomainLost.class, name = "DOMAIN_LOST")
})
public sealed interface TraceEvent {

    /**
     * Returns the time of the event.
     *
     * @return milliseconds since the start of the trace
     */
    long atMillis();

    /**
     * A model request. Its prompt starts with a prefix that other requests share and continues with the text of a
     * thread.
     *
     * @param atMillis time of the request, in milliseconds since the start of the trace
     * @param caller name of the caller
     * @param callerClass name of the caller's class
     * @param promptTokens length of the prompt, in tokens
     * @param sharedPrefix name of the shared prefix
     * @param sharedTokens length of the shared prefix, in tokens
     * @param thread name of the thread; prompts of one thread have the same text
     * @param outputTokens length of the response, in tokens
     * @param maximumTokens maximum length of the response that the caller states, in tokens
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
     * A plain request.
     *
     * @param atMillis time of the request, in milliseconds since the start of the trace
     * @param caller name of the caller
     * @param callerClass name of the caller's class
     */
    record PlainRequest(long atMillis, String caller, String callerClass) implements TraceEvent {}

    /**
     * All instances of a failure domain fail for the rest of the trace.
     *
     * @param atMillis time of the failure, in milliseconds since the start of the trace
     * @param failureDomain name of the failure domain
     */
    record DomainLost(long atMillis, String failureDomain) implements TraceEvent {}
}
