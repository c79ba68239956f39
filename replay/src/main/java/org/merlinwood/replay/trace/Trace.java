package org.merlinwood.replay.trace;

import java.util.List;

/**
 * A whole trace. Immutable.
 *
 * @param header the first line
 * @param events the other lines, in the order of their times
 */
public record Trace(TraceHeader header, List<TraceEvent> events) {

    /** Copies the list. */
    public Trace {
        events = List.copyOf(events);
    }
}
