package org.merlinwood.gateway.decision;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.merlinwood.core.time.MillisClock;

/** Measures what callers ask of each model service, over a sliding window. Used by the event loop alone. */
public final class DemandMeter {

    /** Length of the window, in milliseconds: long enough for a steady figure, short against a change of stage. */
    public static final long WINDOW_MILLIS = 4_000;

    private final MillisClock clock;
    private final Map<String, ArrayDeque<Sample>> byService = new HashMap<>();
    private long firstMillis = Long.MAX_VALUE;

    /** One request: tokens of its prompt, or that it found no room. */
    private record Sample(long atMillis, int promptTokens, boolean withoutRoom) {}

    /**
     * Creates a meter.
     *
     * @param clock the time
     */
    public DemandMeter(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Counts a request.
     *
     * @param service its service
     * @param promptTokens length of its prompt
     */
    public void recordRequest(String service, int promptTokens) {
        add(service, new Sample(clock.monotonicMillis(), promptTokens, false));
    }

    /**
     * Counts a request that no instance had room for.
     *
     * @param service its service
     */
    public void recordNoCapacity(String service) {
        add(service, new Sample(clock.monotonicMillis(), 0, true));
    }

    /**
     * Returns the demand within the window.
     *
     * @return one line for each service that was asked; none before a whole window was measured
     */
    public List<EntryStatus.ServiceDemand> demands() {
        long oldest = clock.monotonicMillis() - WINDOW_MILLIS;
        if (oldest < firstMillis) {
            return List.of();
        }
        byService.values().forEach(window -> dropBefore(window, oldest));
        return byService.entrySet().stream()
                .filter(entry -> !entry.getValue().isEmpty())
                .map(entry -> sum(entry.getKey(), entry.getValue()))
                .toList();
    }

    private void add(String service, Sample asked) {
        firstMillis = Math.min(firstMillis, asked.atMillis());
        ArrayDeque<Sample> window = byService.computeIfAbsent(service, ignored -> new ArrayDeque<>());
        window.addLast(asked);
        dropBefore(window, asked.atMillis() - WINDOW_MILLIS);
    }

    private static void dropBefore(ArrayDeque<Sample> window, long oldest) {
        while (!window.isEmpty() && window.peekFirst().atMillis() < oldest) {
            window.removeFirst();
        }
    }

    private static EntryStatus.ServiceDemand sum(String service, ArrayDeque<Sample> window) {
        int tokens = window.stream().mapToInt(Sample::promptTokens).sum();
        int withoutRoom = (int) window.stream().filter(Sample::withoutRoom).count();
        return new EntryStatus.ServiceDemand(service, tokens, withoutRoom);
    }
}
