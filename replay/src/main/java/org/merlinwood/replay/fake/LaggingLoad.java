package org.merlinwood.replay.fake;

import java.util.ArrayDeque;
import java.util.Deque;
import org.merlinwood.decision.placement.LoadObservation;

/** Load reports of an engine, each of which becomes visible after a fixed delay. Not thread-safe. */
final class LaggingLoad {

    private final long lagMicros;
    private final Deque<Sample> samples = new ArrayDeque<>();
    private LoadObservation visible;

    LaggingLoad(long lagMicros, LoadObservation first) {
        this.lagMicros = lagMicros;
        this.visible = first;
    }

    void record(LoadObservation load, long nowMicros) {
        samples.addLast(new Sample(nowMicros, load));
    }

    LoadObservation visible(long nowMicros) {
        while (!samples.isEmpty() && samples.peekFirst().atMicros() <= nowMicros - lagMicros) {
            visible = samples.removeFirst().load();
        }
        return visible;
    }

    private record Sample(long atMicros, LoadObservation load) {}
}
