package org.merlinwood.replay.fake;

import java.util.ArrayDeque;
import java.util.Deque;
import org.merlinwood.decision.placement.LoadObservation;

/** The load that an engine reports with a lag. */
final class LaggingLoad {

    private final long lagMicros;
    private final Deque<Sample> samples = new ArrayDeque<>();
    private LoadObservation visible;

    LaggingLoad(long lagMicros, LoadObservation first) {
        this.lagMicros = lagMicros;
        this.visible = first;
    }

    void changed(LoadObservation load, long nowMicros) {
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
