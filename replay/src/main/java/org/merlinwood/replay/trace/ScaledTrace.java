package org.merlinwood.replay.trace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A trace with more or fewer requests over the same time: overlaid copies, each thinned out. Copies have threads and
 * callers of their own and keep the shared beginnings. Stateless and thread-safe.
 */
public final class ScaledTrace {

    private static final long SHIFT_MILLIS = 2_000;

    private ScaledTrace() {}

    /**
     * Scales a trace.
     *
     * @param trace the recorded trace
     * @param load requests for each recorded one, positive
     * @param seed seeds the choice of requests
     * @return the scaled trace, the same for the same seed
     */
    public static Trace of(Trace trace, double load, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        int copies = (int) Math.ceil(load);
        List<TraceEvent> events = new ArrayList<>();
        for (int copy = 0; copy < copies; copy++) {
            for (TraceEvent event : trace.events()) {
                boolean kept = random.nextDouble() < load / copies;
                long shiftMillis = copy == 0 ? 0 : random.nextLong(SHIFT_MILLIS);
                if (event instanceof TraceEvent.DomainLost ? copy == 0 : kept) {
                    events.add(copied(event, copy, shiftMillis));
                }
            }
        }
        events.sort(Comparator.comparingLong(TraceEvent::atMillis));
        return new Trace(trace.header(), events);
    }

    private static TraceEvent copied(TraceEvent event, int copy, long shiftMillis) {
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
