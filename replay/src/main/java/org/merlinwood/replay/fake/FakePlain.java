package org.merlinwood.replay.fake;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.decision.placement.LoadObservation;
import org.merlinwood.replay.trace.Fleet;

/**
 * A plain service instance with its sidecar. Requests beyond its concurrency limit wait in a queue. Not thread-safe.
 */
public final class FakePlain {

    private final VirtualTime time;
    private final Instance instance;
    private final Fleet fleet;
    private final Deque<PlainRequestWork> waiting = new ArrayDeque<>();
    private final List<PlainRequestWork> running = new ArrayList<>();
    private boolean alive = true;

    /**
     * Creates an idle instance.
     *
     * @param time virtual time
     * @param instance inventory row of the instance
     * @param fleet rates and sizes of the fleet
     */
    public FakePlain(VirtualTime time, Instance instance, Fleet fleet) {
        this.time = time;
        this.instance = instance;
        this.fleet = fleet;
    }

    /** Fails the instance. Running and waiting requests are lost. */
    public void fail() {
        alive = false;
        running.forEach(work -> FakeNetwork.notifyLost(time, work.lost()));
        waiting.forEach(work -> FakeNetwork.notifyLost(time, work.lost()));
        running.clear();
        waiting.clear();
    }

    /**
     * Sends a request to the instance.
     *
     * @param work the request
     */
    public void execute(PlainRequestWork work) {
        FakeNetwork.send(time, () -> arrive(work));
    }

    /**
     * Returns the inventory row of the instance.
     *
     * @return the inventory row
     */
    public Instance instance() {
        return instance;
    }

    /**
     * Returns the current load.
     *
     * @return the load at the current virtual time
     */
    public LoadObservation load() {
        int slots = fleet.plain().concurrency();
        return new LoadObservation(slots - running.size(), slots, running.size(), waiting.size(), 0, 0, false);
    }

    private void arrive(PlainRequestWork work) {
        if (!alive) {
            FakeNetwork.notifyLost(time, work.lost());
            return;
        }
        waiting.add(work);
        startWaiting();
    }

    private void startWaiting() {
        while (running.size() < fleet.plain().concurrency() && !waiting.isEmpty()) {
            PlainRequestWork work = waiting.remove();
            running.add(work);
            time.after(TimeUnit.MILLISECONDS.toMicros(fleet.plain().serviceMillis()), () -> finish(work));
        }
    }

    private void finish(PlainRequestWork work) {
        if (alive && running.remove(work)) {
            FakeNetwork.send(time, work.done());
            startWaiting();
        }
    }
}
