package org.merlinwood.gateway.decision;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.merlinwood.core.time.MillisClock;

/** Measures the demand of callers for each model service over a sliding window. Confined to the event loop. */
public final class DemandMeter {

    /** Length of the window, in milliseconds: long enough for a steady rate, short compared to a change of stage. */
    public static final long WINDOW_MILLIS = 4_000;

    private final MillisClock clock;
    private final Map<String, ArrayDeque<Sample>> byService = new HashMap<>();
    private long firstMillis = Long.MAX_VALUE;

    /** One request with the length of its prompt, or one request that found no instance with capacity. */
    private record Sample(long atMillis, int promptTokens, boolean withoutCapacity) {}

    /**
     * Creates a meter.
     *
     * @param clock source of the monotonic time
     */
    public DemandMeter(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Counts a request.
     *
     * @param service name of the service
     * @param promptTokens length of the prompt, in tokens
     */
    public void recordRequest(String service, int promptTokens) {
        add(service, new Sample(clock.monotonicMillis(), promptTokens, false));
    }

    /**
     * Counts a request for which no instance had capacity.
     *
     * @param service name of the service
     */
    public void recordNoCapacity(String service) {
        add(service, new Sample(clock.monotonicMillis(), 0, true));
    }

    /**
     * Returns the demand within the window.
     *
     * @return one element for each service with requests in the window; empty until a whole window has been measured
     */
    public List<EntryStatus.ServiceDemand> demands() {
        long oldest = clock.monotonicMillis() - WINDOW_MILLIS;
        if (oldest < firstMillis) {
            return List.of();
        }
        byService.values().forEach(window -> removeBefore(window, oldest));
        return byService.entrySet().stream()
                .filter(entry -> !entry.getValue().isEmpty())
                .map(entry -> sum(entry.getKey(), entry.getValue()))
                .toList();
    }

    private void add(String service, Sample sample) {
        firstMillis = Math.min(firstMillis, sample.atMillis());
        ArrayDeque<Sample> window = byService.computeIfAbsent(service, ignored -> new ArrayDeque<>());
        window.addLast(sample);
        removeBefore(window, sample.atMillis() - WINDOW_MILLIS);
    }

    private static void removeBefore(ArrayDeque<Sample> window, long oldest) {
        while (!window.isEmpty() && window.peekFirst().atMillis() < oldest) {
            window.removeFirst();
        }
    }

    private static EntryStatus.ServiceDemand sum(String service, ArrayDeque<Sample> window) {
        int tokens = window.stream().mapToInt(Sample::promptTokens).sum();
        int withoutCapacity =
                (int) window.stream().filter(Sample::withoutCapacity).count();
        return new EntryStatus.ServiceDemand(service, tokens, withoutCapacity);
    }
}
