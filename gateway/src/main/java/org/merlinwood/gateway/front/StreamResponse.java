package org.merlinwood.gateway.front;

import java.util.OptionalLong;
import org.merlinwood.gateway.request.CallerRequest;
import org.merlinwood.gateway.upstream.ResponseHead;

/**
 * The response of a stream as its caller receives it: one head and complete events, whichever attempts they come from.
 * Used by the event loop alone.
 */
final class StreamResponse {

    private final CallerRequest request;
    private final CallerChannel channel;
    private final EventSplitter events = new EventSplitter();
    private boolean started;

    StreamResponse(CallerRequest request, CallerChannel channel) {
        this.request = request;
        this.channel = channel;
    }

    /** Returns whether the caller has received a head, so that no other one can be sent. */
    boolean started() {
        return started;
    }

    /** Returns the splitter of the events, which holds those bytes of the current attempt that complete no event. */
    EventSplitter events() {
        return events;
    }

    /**
     * Forwards complete events, the first ones behind a head. Until then the caller has received nothing, so an error
     * response can still be sent, and another attempt can send its own head.
     *
     * @param head head of the response that the events belong to
     * @param completeEvents the events
     */
    void write(ResponseHead head, byte[] completeEvents) {
        begin(head);
        channel.write(completeEvents);
    }

    /** Ends a complete response, with a head if there was no event. */
    void end(ResponseHead head) {
        begin(head);
        channel.end();
    }

    private void begin(ResponseHead head) {
        if (!started) {
            started = true;
            channel.begin(head.status(), head.forwardedHeaders());
        }
    }

    /**
     * Returns the number of the event after which the next attempt continues: the last one that the caller received
     * here, otherwise the one that the caller named in its request, otherwise 0 for a started response.
     */
    OptionalLong lastDeliveredEvent() {
        if (events.lastEventNumber().isPresent()) {
            return events.lastEventNumber();
        }
        if (request.lastEvent().isPresent()) {
            return request.lastEvent();
        }
        return started ? OptionalLong.of(0) : OptionalLong.empty();
    }
}
