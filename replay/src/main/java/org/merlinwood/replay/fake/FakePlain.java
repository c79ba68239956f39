package org.merlinwood.replay.fake;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.decision.placement.LoadObservation;
import org.merlinwood.replay.trace.Fleet;

/** A plain service with its sidecar: a number of calls at once, the others wait. */
public final class FakePlain {

    private final VirtualTime time;
    private final Instance instance;
    private final Fleet fleet;
    private final Deque<PlainCall> waiting = new ArrayDeque<>();
    private final List<PlainCall> running = new ArrayList<>();
    private boolean alive = true;

    /**
     * Creates an idle instance.
     *
     * @param time virtual time
     * @param instance its row of the inventory
     * @param fleet rates and sizes
     */
    public FakePlain(VirtualTime time, Instance instance, Fleet fleet) {
        this.time = time;
        this.instance = instance;
        this.fleet = fleet;
    }

    /** Ends the instance with everything that it holds. */
    public void lose() {
        alive = false;
        running.forEach(call -> FakeNetwork.broken(time, call.lost()));
        waiting.forEach(call -> FakeNetwork.broken(time, call.lost()));
        running.clear();
        waiting.clear();
    }

    /**
     * Sends a call.
     *
     * @param call the call
     */
    public void call(PlainCall call) {
        FakeNetwork.send(time, () -> arrive(call));
    }

    /**
     * Returns the row of the inventory.
     *
     * @return the instance
     */
    public Instance instance() {
        return instance;
    }

    /**
     * Returns the load.
     *
     * @return the load now
     */
    public LoadObservation load() {
        int slots = fleet.plain().concurrency();
        return new LoadObservation(slots - running.size(), slots, running.size(), waiting.size(), 0, 0, false);
    }

    private void arrive(PlainCall call) {
        if (!alive) {
            FakeNetwork.broken(time, call.lost());
            return;
        }
        waiting.add(call);
        startWaiting();
    }

    private void startWaiting() {
        while (running.size() < fleet.plain().concurrency() && !waiting.isEmpty()) {
            PlainCall call = waiting.remove();
            running.add(call);
            time.after(TimeUnit.MILLISECONDS.toMicros(fleet.plain().serviceMillis()), () -> finish(call));
        }
    }

    private void finish(PlainCall call) {
        if (alive && running.remove(call)) {
            FakeNetwork.send(time, call.done());
            startWaiting();
        }
    }
}
