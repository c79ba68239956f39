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

/**
 * A decode engine with its sidecar. Its memory is allocated in pieces, and each step generates one token for every
 * stream of the batch. Not thread-safe.
 */
public final class FakeDecode {

    private static final double LINK_SHARE_OF_RESULT_LIFE = 0.5;
    private static final double ASSUMED_BYTES_PER_MILLI = 5_000_000;

    private final VirtualTime time;
    private final Instance instance;
    private final Fleet fleet;
    private final SidecarBehaviour behaviour;
    private final CapacityAllocator allocator;
    private final Link link;
    private final LinkReservation reservation;
    private final LaggingLoad reportedLoad;
    private final Map<PendingGrantRequest, Long> reservedLinkBytes = new LinkedHashMap<>();
    private final Map<DecodeStream, PendingGrantRequest> executing = new LinkedHashMap<>();
    private final List<DecodeStream> running = new ArrayList<>();
    private final Set<PendingGrantRequest> openRequests = new LinkedHashSet<>();
    private boolean alive = true;
    private boolean stepping;

    /**
     * Creates an idle instance.
     *
     * @param time virtual time
     * @param instance inventory row of the instance
     * @param fleet rates and sizes of the fleet
     * @param behaviour how the sidecar treats grant requests
     */
    public FakeDecode(VirtualTime time, Instance instance, Fleet fleet, SidecarBehaviour behaviour) {
        this.time = time;
        this.instance = instance;
        this.fleet = fleet;
        this.behaviour = behaviour;
        this.allocator =
                CapacityAllocator.of(behaviour, time, fleet.decode().pieces(), this::onGranted, this::onRefused);
        this.link = new Link(fleet.link().bytesPerMilli());
        long longestWaitMillis = Math.round(fleet.prefill().resultLifeMillis() * LINK_SHARE_OF_RESULT_LIFE);
        this.reservation = new LinkReservation(longestWaitMillis, ASSUMED_BYTES_PER_MILLI);
        this.reportedLoad =
                new LaggingLoad(TimeUnit.MILLISECONDS.toMicros(fleet.reports().loadLagMillis()), allocator.load());
    }

    /** Fails the instance. Open grant requests become unreachable, and running streams are lost. */
    public void fail() {
        alive = false;
        openRequests.forEach(request -> FakeNetwork.notifyUnreachable(time, request));
        openRequests.clear();
        allocator.close();
        executing.keySet().forEach(stream -> FakeNetwork.notifyLost(time, stream::lost));
        executing.clear();
        running.clear();
    }

    /**
     * Requests a grant of engine memory.
     *
     * @param request the request
     */
    public void requestGrant(PendingGrantRequest request) {
        FakeNetwork.send(time, () -> arrive(request));
    }

    /**
     * Transfers a KV cache to this instance under a grant and then generates tokens.
     *
     * @param stream receives the tokens
     * @param request the granted request
     * @param result the KV cache to transfer
     */
    public void execute(DecodeStream stream, PendingGrantRequest request, PrefillResult result) {
        if (!alive) {
            FakeNetwork.notifyLost(time, stream::lost);
            result.holder().releaseResult(result.bytes(), 0);
            return;
        }
        if (!allocator.use(request)) {
            release(request);
            result.holder().releaseResult(result.bytes(), 0);
            FakeNetwork.send(time, stream::cacheMissing);
            return;
        }
        executing.put(stream, request);
        transfer(stream, result);
    }

    /**
     * Releases a grant that has not been executed.
     *
     * @param request the granted request
     */
    public void release(PendingGrantRequest request) {
        FakeNetwork.send(time, () -> releaseCapacity(request));
    }

    /**
     * Returns the latest load report that is visible after the reporting delay.
     *
     * @return a delayed load
     */
    public LoadObservation laggingLoad() {
        return reportedLoad.visible(time.nowMicros());
    }

    /**
     * Returns the inventory row of the instance.
     *
     * @return the inventory row
     */
    public Instance instance() {
        return instance;
    }

    private void arrive(PendingGrantRequest request) {
        if (!alive) {
            FakeNetwork.notifyUnreachable(time, request);
            return;
        }
        long waitMicros = linkWaitMicros();
        if (waitMicros == 0) {
            openRequests.add(request);
            allocator.request(request, request.pieces());
            recordLoad();
        } else if (time.nowMicros() + waitMicros > request.latestStartMicros()) {
            onRefused(request, allocator.load());
        } else {
            time.after(waitMicros, () -> arrive(request));
        }
    }

    private long linkWaitMicros() {
        return behaviour == SidecarBehaviour.FIRST_COME ? 0 : TimeUnit.MILLISECONDS.toMicros(reservation.waitMillis());
    }

    private void onGranted(PendingGrantRequest request) {
        openRequests.remove(request);
        if (request.isClosed()) {
            allocator.release(request);
            return;
        }
        reservedLinkBytes.put(request, request.tokens() * fleet.link().bytesPerToken());
        reservation.reserve(reservedLinkBytes.get(request));
        request.close();
        LoadObservation load = allocator.load();
        FakeNetwork.send(time, () -> request.listener().granted(load));
    }

    private void onRefused(PendingGrantRequest request, LoadObservation load) {
        openRequests.remove(request);
        FakeNetwork.refuse(time, request, load);
    }

    private void releaseCapacity(PendingGrantRequest request) {
        releaseLinkReservation(request);
        allocator.release(request);
        recordLoad();
    }

    private void releaseLinkReservation(PendingGrantRequest request) {
        Long bytes = reservedLinkBytes.remove(request);
        if (bytes != null) {
            reservation.release(bytes);
        }
    }

    private void transfer(DecodeStream stream, PrefillResult result) {
        Link export = result.holder().link();
        long startMicros = Math.max(time.nowMicros(), Math.max(link.freeAtMicros(), export.freeAtMicros()));
        long evictedMicros = result.doneMicros()
                + TimeUnit.MILLISECONDS.toMicros(fleet.prefill().resultLifeMillis());
        if (startMicros > evictedMicros || !result.holder().isAlive()) {
            time.after(evictedMicros - time.nowMicros(), () -> onCacheEvicted(stream, result));
            return;
        }
        long endMicros = startMicros + link.micros(result.bytes());
        link.occupyUntil(endMicros);
        export.occupyUntil(endMicros);
        long transferMillis = TimeUnit.MICROSECONDS.toMillis(endMicros - startMicros);
        time.after(endMicros - time.nowMicros(), () -> onTransferred(stream, result, transferMillis));
    }

    private void onTransferred(DecodeStream stream, PrefillResult result, long millis) {
        result.holder().releaseResult(result.bytes(), millis);
        reservation.observe(result.bytes(), millis);
        PendingGrantRequest request = executing.get(stream);
        if (!alive || request == null) {
            return;
        }
        releaseLinkReservation(request);
        running.add(stream);
        if (!stepping) {
            step();
        }
    }

    private void onCacheEvicted(DecodeStream stream, PrefillResult result) {
        result.holder().releaseResult(result.bytes(), 0);
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
        PendingGrantRequest request = executing.remove(stream);
        running.remove(stream);
        if (request != null) {
            releaseCapacity(request);
        }
    }

    private void recordLoad() {
        reportedLoad.record(allocator.load(), time.nowMicros());
    }
}
