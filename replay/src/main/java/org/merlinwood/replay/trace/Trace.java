package org.merlinwood.replay.trace;

import java.util.List;

/**
 * A complete trace. Immutable.
 *
 * @param header header, the first line of the file
 * @param events events, the other lines, in order of time
 */
public record Trace(TraceHeader header, List<TraceEvent> events) {

    /** Copies the list. */
    public Trace {
        events = List.copyOf(events);
    }
}
