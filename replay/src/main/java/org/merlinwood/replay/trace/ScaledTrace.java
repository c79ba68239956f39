package org.merlinwood.replay.trace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Scales the number of requests of a trace over the same duration by overlaying copies and dropping a random share of
 * the requests. Copies have their own threads and callers and keep the shared prefixes. Stateless and thread-safe.
 */
public final class ScaledTrace {

    private static final long MAXIMUM_SHIFT_MILLIS = 2_000;

    private ScaledTrace() {}

    /**
     * Scales a trace.
     *
     * @param trace the recorded trace
     * @param load number of requests for each recorded request; positive
     * @param seed seed for the choice of requests
     * @return the scaled trace; equal for equal seeds
     */
    public static Trace of(Trace trace, double load, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        int copies = (int) Math.ceil(load);
        List<TraceEvent> events = new ArrayList<>();
        for (int copy = 0; copy < copies; copy++) {
            for (TraceEvent event : trace.events()) {
                boolean selected = random.nextDouble() < load / copies;
                long shiftMillis = copy == 0 ? 0 : random.nextLong(MAXIMUM_SHIFT_MILLIS);
                if (event instanceof TraceEvent.DomainLost ? copy == 0 : selected) {
                    events.add(copyOf(event, copy, shiftMillis));
                }
            }
        }
        events.sort(Comparator.comparingLong(TraceEvent::atMillis));
        return new Trace(trace.header(), events);
    }

    private static TraceEvent copyOf(TraceEvent event, int copy, long shiftMillis) {
        String suffix = copy == 0 ? "" : "/" + copy;
        return switch (event) {
            case TraceEvent.ModelRequest request ->
                new TraceEvent.ModelRequest(
                        request.atMillis() + shiftMillis,
                        request.caller() + suffix,
                        request.callerClass(),
                        request.promptTokens(),
                        request.sharedPrefix(),
                        request.sharedTokens(),
                        request.thread() + suffix,
                        request.outputTokens(),
                        request.maximumTokens());
            case TraceEvent.PlainRequest request ->
                new TraceEvent.PlainRequest(
                        request.atMillis() + shiftMillis, request.caller() + suffix, request.callerClass());
            case TraceEvent.DomainLost lost -> lost;
        };
    }
}
