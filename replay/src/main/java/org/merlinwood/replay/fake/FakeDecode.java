package org.merlinwood.replay.fake;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.decision.admission.LinkReservation;
import org.merlinwood.decision.placement.LoadObservation;
import org.merlinwood.replay.trace.Fleet;

/** A decode engine with its sidecar: memory in pieces, a batch that makes one token of each stream a step. */
public final class FakeDecode {

    private static final double LINK_SHARE_OF_RESULT_LIFE = 0.5;
    private static final double ASSUMED_BYTES_PER_MILLI = 5_000_000;
    private static final double RELEASE_GAIN = 0.1;
    private static final double FIRST_RELEASE_GAP_MICROS = 500_000;
    private static final int FIRST_RELEASED_PIECES = 4;

    private final VirtualTime time;
    private final Instance instance;
    private final Fleet fleet;
    private final SidecarBehaviour behaviour;
    private final AskQueue queue;
    private final Link link;
    private final LinkReservation reservation;
    private final Map<DecodeStream, Long> promisedBytes = new HashMap<>();
    private final LaggingLoad lagging;
    private final Map<DecodeStream, Integer> held = new LinkedHashMap<>();
    private final List<DecodeStream> running = new ArrayList<>();
    private int reservedPieces;
    private boolean alive = true;
    private boolean stepping;
    private double releasedPiecesPerMicro = FIRST_RELEASED_PIECES / FIRST_RELEASE_GAP_MICROS;
    private long lastReleaseMicros;

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
        this.queue = new AskQueue(behaviour);
        this.link = new Link(fleet.link().bytesPerMilli());
        long longestWaitMillis = Math.round(fleet.prefill().resultLifeMillis() * LINK_SHARE_OF_RESULT_LIFE);
        this.reservation = new LinkReservation(longestWaitMillis, ASSUMED_BYTES_PER_MILLI);
        this.lagging =
                new LaggingLoad(TimeUnit.MILLISECONDS.toMicros(fleet.reports().loadLagMillis()), load());
    }

    /** Ends the instance with everything that it holds. */
    public void lose() {
        alive = false;
        queue.drain().forEach(ask -> FakeNetwork.silence(time, ask));
        held.keySet().forEach(stream -> FakeNetwork.broken(time, stream::lost));
        held.clear();
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
     * @param pieces pieces of the grant
     * @param result the KV cache
     */
    public void execute(DecodeStream stream, int pieces, PrefillResult result) {
        if (!alive) {
            FakeNetwork.broken(time, stream::lost);
            result.holder().forget(result.bytes(), 0);
            return;
        }
        held.put(stream, pieces);
        promisedBytes.put(stream, result.bytes());
        long startMicros = Math.max(
                time.nowMicros(),
                Math.max(link.freeAtMicros(), result.holder().link().freeAtMicros()));
        long evictedMicros = result.doneMicros()
                + TimeUnit.MILLISECONDS.toMicros(fleet.prefill().resultLifeMillis());
        if (startMicros > evictedMicros || !result.holder().isAlive()) {
            time.after(evictedMicros - time.nowMicros(), () -> {
                result.holder().forget(result.bytes(), 0);
                missing(stream);
            });
            return;
        }
        long endMicros = startMicros + link.micros(result.bytes());
        link.occupyUntil(endMicros);
        result.holder().link().occupyUntil(endMicros);
        long transferMillis = TimeUnit.MICROSECONDS.toMillis(endMicros - startMicros);
        time.after(endMicros - time.nowMicros(), () -> {
            result.holder().forget(result.bytes(), transferMillis);
            transferred(stream, transferMillis);
        });
    }

    /**
     * Gives back a grant that was not executed.
     *
     * @param pieces pieces of the grant
     * @param tokens prompt tokens of the grant
     */
    public void release(int pieces, long tokens) {
        FakeNetwork.send(time, () -> {
            reservation.release(bytes(tokens));
            free(pieces);
        });
    }

    /**
     * Ends a stream whose caller is gone.
     *
     * @param stream the stream
     */
    public void cancel(DecodeStream stream) {
        FakeNetwork.send(time, () -> end(stream));
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
        if (queue.size() == 0 && fits(ask)) {
            grant(ask);
            return;
        }
        if (behaviour == SidecarBehaviour.BY_TARGET && waitMicros(ask) > ask.latestStartMicros() - time.nowMicros()) {
            FakeNetwork.refuse(time, ask, load());
            return;
        }
        queue.add(ask);
        time.after(ask.latestStartMicros() - time.nowMicros(), () -> expire(ask));
        changed();
    }

    private boolean fits(Ask ask) {
        boolean memory = reservedPieces + ask.pieces() <= fleet.decode().pieces();
        return memory && (behaviour == SidecarBehaviour.FIRST_COME || reservation.hasRoom());
    }

    private void grant(Ask ask) {
        reservedPieces += ask.pieces();
        reservation.reserve(bytes(ask.tokens()));
        LoadObservation load = load();
        changed();
        if (ask.close()) {
            FakeNetwork.send(time, () -> ask.listener().granted(load));
        }
    }

    private void expire(Ask ask) {
        if (!ask.isClosed()) {
            queue.remove(ask);
            FakeNetwork.refuse(time, ask, load());
        }
    }

    private void grantWaiting() {
        Optional<Ask> next = queue.next();
        while (alive && next.isPresent() && fits(next.get())) {
            queue.remove(next.get());
            grant(next.get());
            next = queue.next();
        }
    }

    private long waitMicros(Ask ask) {
        int missing = reservedPieces
                + queue.piecesBefore(ask)
                + ask.pieces()
                - fleet.decode().pieces();
        long memoryMicros = Math.round(Math.max(0, missing) / releasedPiecesPerMicro);
        return Math.max(memoryMicros, TimeUnit.MILLISECONDS.toMicros(reservation.waitMillis()));
    }

    private void free(int pieces) {
        reservedPieces -= pieces;
        learnReleases(pieces);
        grantWaiting();
        changed();
    }

    private void learnReleases(int pieces) {
        long gapMicros = Math.max(1, time.nowMicros() - lastReleaseMicros);
        lastReleaseMicros = time.nowMicros();
        double gapPerPiece = (double) gapMicros / pieces;
        double known = 1 / releasedPiecesPerMicro;
        releasedPiecesPerMicro = 1 / (known + RELEASE_GAIN * (gapPerPiece - known));
    }

    // ------------------------------------------------------------------ internals: streams

    private void transferred(DecodeStream stream, long millis) {
        Long bytes = promisedBytes.get(stream);
        if (bytes != null) {
            reservation.observe(bytes, millis);
        }
        releasePromise(stream);
        join(stream);
        grantWaiting();
    }

    private void releasePromise(DecodeStream stream) {
        Long bytes = promisedBytes.remove(stream);
        if (bytes != null) {
            reservation.release(bytes);
        }
    }

    private long bytes(long tokens) {
        return tokens * fleet.link().bytesPerToken();
    }

    private void join(DecodeStream stream) {
        if (!alive || !held.containsKey(stream)) {
            return;
        }
        running.add(stream);
        if (!stepping) {
            step();
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
            if (held.containsKey(stream) && !stream.token(time.nowMicros())) {
                end(stream);
            }
        }
        step();
    }

    private void missing(DecodeStream stream) {
        if (alive && held.containsKey(stream)) {
            end(stream);
            FakeNetwork.send(time, stream::cacheMissing);
        }
    }

    private void end(DecodeStream stream) {
        Integer pieces = held.remove(stream);
        running.remove(stream);
        releasePromise(stream);
        if (pieces != null) {
            free(pieces);
        }
    }

    private LoadObservation load() {
        int free = fleet.decode().pieces() - reservedPieces;
        int missing = Math.max(1, queue.pieces() + 1 - free);
        long waitMillis = free > 0 && queue.size() == 0
                ? 0
                : TimeUnit.MICROSECONDS.toMillis(Math.round(missing / releasedPiecesPerMicro));
        return new LoadObservation(free, fleet.decode().pieces(), running.size(), queue.size(), waitMillis, 0, false);
    }

    private void changed() {
        lagging.changed(load(), time.nowMicros());
    }
}
