package org.merlinwood.replay.fake;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.decision.admission.LinkReservation;
import org.merlinwood.decision.placement.LoadObservation;
import org.merlinwood.replay.trace.Fleet;

/** A decode engine with its sidecar: memory in pieces, a batch that makes one token of each stream a step. */
public final class FakeDecode {

    private static final double LINK_SHARE_OF_RESULT_LIFE = 0.5;
    private static final double ASSUMED_BYTES_PER_MILLI = 5_000_000;

    private final VirtualTime time;
    private final Instance instance;
    private final Fleet fleet;
    private final SidecarBehaviour behaviour;
    private final CapacityDesk desk;
    private final Link link;
    private final LinkReservation reservation;
    private final LaggingLoad lagging;
    private final Map<Ask, Long> promisedBytes = new LinkedHashMap<>();
    private final Map<DecodeStream, Ask> executing = new LinkedHashMap<>();
    private final List<DecodeStream> running = new ArrayList<>();
    private final Set<Ask> openAsks = new LinkedHashSet<>();
    private boolean alive = true;
    private boolean stepping;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates an idle instance.
     *
     * @param time virtual time
     * @param instance its row of the inventory
     * @param fleet rates and sizes
     * @param behaviour how the sidecar grants
     */
    public FakeDecode(VirtualTime time, Instance instance, Fleet fleet, SidecarBehaviour behaviour) {
        this.time = time;
        this.instance = instance;
        this.fleet = fleet;
        this.behaviour = behaviour;
        this.desk = CapacityDesk.of(behaviour, time, fleet.decode().pieces(), this::given, this::denied);
        this.link = new Link(fleet.link().bytesPerMilli());
        long longestWaitMillis = Math.round(fleet.prefill().resultLifeMillis() * LINK_SHARE_OF_RESULT_LIFE);
        this.reservation = new LinkReservation(longestWaitMillis, ASSUMED_BYTES_PER_MILLI);
        this.lagging =
                new LaggingLoad(TimeUnit.MILLISECONDS.toMicros(fleet.reports().loadLagMillis()), desk.load());
    }

    /** Ends the instance with everything that it holds. */
    public void lose() {
        alive = false;
        openAsks.forEach(ask -> FakeNetwork.silence(time, ask));
        openAsks.clear();
        desk.close();
        executing.keySet().forEach(stream -> FakeNetwork.broken(time, stream::lost));
        executing.clear();
        running.clear();
    }

    // ------------------------------------------------------------------ public API

    /**
     * Asks for a grant of memory.
     *
     * @param ask the request
     */
    public void ask(Ask ask) {
        FakeNetwork.send(time, () -> arrive(ask));
    }

    /**
     * Pulls a KV cache under a grant and begins to generate.
     *
     * @param stream gets the tokens
     * @param ask the request that was granted
     * @param result the KV cache
     */
    public void execute(DecodeStream stream, Ask ask, PrefillResult result) {
        if (!alive) {
            FakeNetwork.broken(time, stream::lost);
            result.holder().forget(result.bytes(), 0);
            return;
        }
        if (!desk.use(ask)) {
            release(ask);
            result.holder().forget(result.bytes(), 0);
            FakeNetwork.send(time, stream::cacheMissing);
            return;
        }
        executing.put(stream, ask);
        transfer(stream, result);
    }

    /**
     * Gives back a grant that was not executed.
     *
     * @param ask the request that was granted
     */
    public void release(Ask ask) {
        FakeNetwork.send(time, () -> free(ask));
    }

    /**
     * Returns the load that the engine reports, with its lag.
     *
     * @return the load some time ago
     */
    public LoadObservation laggingLoad() {
        return lagging.visible(time.nowMicros());
    }

    /**
     * Returns the row of the inventory.
     *
     * @return the instance
     */
    public Instance instance() {
        return instance;
    }

    // ------------------------------------------------------------------ internals: grants

    private void arrive(Ask ask) {
        if (!alive) {
            FakeNetwork.silence(time, ask);
            return;
        }
        long holdMicros = linkHoldMicros();
        if (holdMicros == 0) {
            openAsks.add(ask);
            desk.request(ask, ask.pieces());
            changed();
        } else if (time.nowMicros() + holdMicros > ask.latestStartMicros()) {
            denied(ask, desk.load());
        } else {
            time.after(holdMicros, () -> arrive(ask));
        }
    }

    private long linkHoldMicros() {
        return behaviour == SidecarBehaviour.FIRST_COME ? 0 : TimeUnit.MILLISECONDS.toMicros(reservation.waitMillis());
    }

    private void given(Ask ask) {
        openAsks.remove(ask);
        if (ask.isClosed()) {
            desk.release(ask);
            return;
        }
        promisedBytes.put(ask, ask.tokens() * fleet.link().bytesPerToken());
        reservation.reserve(promisedBytes.get(ask));
        ask.close();
        LoadObservation load = desk.load();
        FakeNetwork.send(time, () -> ask.listener().granted(load));
    }

    private void denied(Ask ask, LoadObservation load) {
        openAsks.remove(ask);
        FakeNetwork.refuse(time, ask, load);
    }

    private void free(Ask ask) {
        releasePromise(ask);
        desk.release(ask);
        changed();
    }

    private void releasePromise(Ask ask) {
        Long bytes = promisedBytes.remove(ask);
        if (bytes != null) {
            reservation.release(bytes);
        }
    }

    // ------------------------------------------------------------------ internals: streams

    private void transfer(DecodeStream stream, PrefillResult result) {
        Link export = result.holder().link();
        long startMicros = Math.max(time.nowMicros(), Math.max(link.freeAtMicros(), export.freeAtMicros()));
        long evictedMicros = result.doneMicros()
                + TimeUnit.MILLISECONDS.toMicros(fleet.prefill().resultLifeMillis());
        if (startMicros > evictedMicros || !result.holder().isAlive()) {
            time.after(evictedMicros - time.nowMicros(), () -> missing(stream, result));
            return;
        }
        long endMicros = startMicros + link.micros(result.bytes());
        link.occupyUntil(endMicros);
        export.occupyUntil(endMicros);
        long transferMillis = TimeUnit.MICROSECONDS.toMillis(endMicros - startMicros);
        time.after(endMicros - time.nowMicros(), () -> transferred(stream, result, transferMillis));
    }

    private void transferred(DecodeStream stream, PrefillResult result, long millis) {
        result.holder().forget(result.bytes(), millis);
        reservation.observe(result.bytes(), millis);
        Ask ask = executing.get(stream);
        if (!alive || ask == null) {
            return;
        }
        releasePromise(ask);
        running.add(stream);
        if (!stepping) {
            step();
        }
    }

    private void missing(DecodeStream stream, PrefillResult result) {
        result.holder().forget(result.bytes(), 0);
        if (alive && executing.containsKey(stream)) {
            end(stream);
            FakeNetwork.send(time, stream::cacheMissing);
        }
    }

    private void step() {
        stepping = alive && !running.isEmpty();
        if (!stepping) {
            return;
        }
        List<DecodeStream> batch = List.copyOf(running);
        double millis = fleet.decode().stepMillis() + fleet.decode().stepMillisPerRequest() * batch.size();
        time.after(Math.round(millis * 1_000), () -> finishStep(batch));
    }

    private void finishStep(List<DecodeStream> batch) {
        for (DecodeStream stream : batch) {
            if (executing.containsKey(stream) && !stream.token(time.nowMicros())) {
                end(stream);
            }
        }
        step();
    }

    private void end(DecodeStream stream) {
        Ask ask = executing.remove(stream);
        running.remove(stream);
        if (ask != null) {
            free(ask);
        }
    }

    private void changed() {
        lagging.changed(desk.load(), time.nowMicros());
    }
}
