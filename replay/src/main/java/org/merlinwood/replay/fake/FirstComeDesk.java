package org.merlinwood.replay.fake;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.merlinwood.decision.placement.LoadObservation;

/** First come, first served; a request waits until its caller leaves. Not thread-safe. */
final class FirstComeDesk implements CapacityDesk {

    private final VirtualTime time;
    private final int capacityUnits;
    private final Consumer<Ask> whenGiven;
    private final BiConsumer<Ask, LoadObservation> whenDenied;
    private final Deque<Ask> waiting = new ArrayDeque<>();
    private final Map<Ask, Integer> wanted = new HashMap<>();
    private final Map<Ask, Integer> held = new HashMap<>();
    private int heldUnits;

    FirstComeDesk(
            VirtualTime time, int capacityUnits, Consumer<Ask> whenGiven, BiConsumer<Ask, LoadObservation> whenDenied) {
        this.time = time;
        this.capacityUnits = capacityUnits;
        this.whenGiven = whenGiven;
        this.whenDenied = whenDenied;
    }

    @Override
    public void request(Ask ask, int units) {
        wanted.put(ask, units);
        waiting.add(ask);
        time.after(ask.latestStartMicros() - time.nowMicros(), () -> expire(ask));
        serve();
    }

    @Override
    public boolean use(Ask ask) {
        return held.containsKey(ask);
    }

    @Override
    public void release(Ask ask) {
        Integer units = held.remove(ask);
        if (units != null) {
            heldUnits -= units;
            serve();
        }
    }

    @Override
    public void close() {
        waiting.clear();
        held.clear();
    }

    @Override
    public LoadObservation load() {
        long tokens = waiting.stream().mapToLong(Ask::tokens).sum();
        tokens += held.keySet().stream().mapToLong(Ask::tokens).sum();
        return new LoadObservation(
                capacityUnits - heldUnits, capacityUnits, held.size(), waiting.size(), 0, tokens, false);
    }

    private void expire(Ask ask) {
        if (waiting.remove(ask)) {
            wanted.remove(ask);
            whenDenied.accept(ask, load());
        }
    }

    private void serve() {
        waiting.removeIf(Ask::isClosed);
        while (!waiting.isEmpty() && heldUnits + wanted.get(waiting.peekFirst()) <= capacityUnits) {
            Ask ask = waiting.removeFirst();
            int units = wanted.remove(ask);
            held.put(ask, units);
            heldUnits += units;
            whenGiven.accept(ask);
        }
    }
}
