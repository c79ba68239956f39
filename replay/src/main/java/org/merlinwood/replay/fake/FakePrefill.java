package org.merlinwood.replay.fake;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.decision.admission.LinkReservation;
import org.merlinwood.decision.placement.LoadObservation;
import org.merlinwood.replay.trace.Fleet;

/** A prefill engine with its sidecar. It computes one prompt at a time and has a prefix cache. Not thread-safe. */
public final class FakePrefill {

    private static final int MAXIMUM_CONCURRENT_PROMPTS = 1;
    private static final double LINK_SHARE_OF_RESULT_LIFE = 0.5;
    private static final double ASSUMED_BYTES_PER_MILLI = 5_000_000;

    private final VirtualTime time;
    private final Instance instance;
    private final Fleet fleet;
    private final SidecarBehaviour behaviour;
    private final CapacityAllocator allocator;
    private final Map<PendingGrantRequest, PrefillWork> workByRequest = new HashMap<>();
    private final PrefixCache cache;
    private final Link link;
    private final LinkReservation reservation;
    private final LaggingLoad reportedLoad;
    private final CacheListener cacheListener;
    private Optional<PendingGrantRequest> waitingForLink = Optional.empty();
    private Optional<PrefillWork> running = Optional.empty();
    private final Set<PendingGrantRequest> openRequests = new LinkedHashSet<>();
    private boolean alive = true;

    /**
     * Creates an idle instance.
     *
     * @param time virtual time
     * @param instance inventory row of the instance
     * @param fleet rates and sizes of the fleet
     * @param behaviour how the sidecar treats grant requests
     * @param cacheListener receives cache events
     */
    public FakePrefill(
            VirtualTime time, Instance instance, Fleet fleet, SidecarBehaviour behaviour, CacheListener cacheListener) {
        this.time = time;
        this.instance = instance;
        this.fleet = fleet;
        this.behaviour = behaviour;
        this.allocator =
                CapacityAllocator.of(behaviour, time, MAXIMUM_CONCURRENT_PROMPTS, this::onGranted, this::onRefused);
        this.cache = new PrefixCache(fleet.prefill().cacheTokens());
        this.link = new Link(fleet.link().bytesPerMilli());
        long longestWaitMillis = Math.round(fleet.prefill().resultLifeMillis() * LINK_SHARE_OF_RESULT_LIFE);
        this.reservation = new LinkReservation(longestWaitMillis, ASSUMED_BYTES_PER_MILLI);
        this.reportedLoad =
                new LaggingLoad(TimeUnit.MILLISECONDS.toMicros(fleet.reports().loadLagMillis()), allocator.load());
        this.cacheListener = cacheListener;
    }

    /** Fails the instance. Open grant requests become unreachable, and the running prefill is lost. */
    public void fail() {
        alive = false;
        openRequests.forEach(request -> FakeNetwork.notifyUnreachable(time, request));
        openRequests.clear();
        allocator.close();
        waitingForLink.ifPresent(request -> FakeNetwork.notifyUnreachable(time, request));
        waitingForLink = Optional.empty();
        running.ifPresent(work -> FakeNetwork.notifyLost(time, work.lost()));
        running = Optional.empty();
    }

    /**
     * Requests a grant. The prefill starts as soon as the grant is issued.
     *
     * @param request the request
     * @param work the prefill to run
     */
    public void requestGrant(PendingGrantRequest request, PrefillWork work) {
        FakeNetwork.send(time, () -> arrive(request, work));
    }

    /**
     * Releases a result that has been transferred or is no longer needed.
     *
     * @param bytes size of the KV cache, in bytes
     * @param transferMillis duration of the transfer, in milliseconds; 0 if it was not transferred
     */
    public void releaseResult(long bytes, long transferMillis) {
        reservation.release(bytes);
        reservation.observe(bytes, transferMillis);
        startIfLinkFree();
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

    boolean isAlive() {
        return alive;
    }

    Link link() {
        return link;
    }

    private void arrive(PendingGrantRequest request, PrefillWork work) {
        if (!alive) {
            FakeNetwork.notifyUnreachable(time, request);
            return;
        }
        workByRequest.put(request, work);
        openRequests.add(request);
        allocator.request(request, 1);
        recordLoad();
    }

    private void onRefused(PendingGrantRequest request, LoadObservation load) {
        openRequests.remove(request);
        workByRequest.remove(request);
        FakeNetwork.refuse(time, request, load);
    }

    private void onGranted(PendingGrantRequest request) {
        openRequests.remove(request);
        waitingForLink = Optional.of(request);
        long maximumWaitMicros = request.latestStartMicros() - time.nowMicros();
        time.after(maximumWaitMicros, () -> refuseIfWaiting(request));
        startIfLinkFree();
    }

    private void refuseIfWaiting(PendingGrantRequest request) {
        if (waitingForLink.equals(Optional.of(request))) {
            waitingForLink = Optional.empty();
            onRefused(request, allocator.load());
            allocator.release(request);
        }
    }

    private void startIfLinkFree() {
        if (!alive || waitingForLink.isEmpty() || isLinkReserved(waitingForLink.get())) {
            return;
        }
        PendingGrantRequest request = waitingForLink.get();
        waitingForLink = Optional.empty();
        PrefillWork work = workByRequest.remove(request);
        if (request.isClosed()) {
            allocator.release(request);
        } else {
            start(request, work);
        }
    }

    private boolean isLinkReserved(PendingGrantRequest request) {
        long waitMicros = TimeUnit.MILLISECONDS.toMicros(reservation.waitMillis());
        return behaviour == SidecarBehaviour.GRANT_MANAGER && waitMicros > micros(request.tokens());
    }

    private void start(PendingGrantRequest request, PrefillWork work) {
        allocator.use(request);
        FakeNetwork.grant(time, request, allocator.load());
        long computedTokens = Math.max(1, work.promptTokens() - cache.cachedTokens(work.blocks()));
        work.started().accept(computedTokens);
        running = Optional.of(work);
        reservation.reserve(bytes(work));
        long startedMicros = time.nowMicros();
        time.after(micros(computedTokens), () -> finish(request, work, computedTokens, startedMicros));
    }

    private void finish(PendingGrantRequest request, PrefillWork work, long computedTokens, long startedMicros) {
        if (!alive) {
            return;
        }
        running = Optional.empty();
        cache.store(work.blocks());
        cacheListener.stored(instance.name(), work.blocks());
        PrefillResult result = new PrefillResult(this, computedTokens, bytes(work), startedMicros, time.nowMicros());
        FakeNetwork.send(time, () -> work.done().accept(result));
        allocator.release(request);
        recordLoad();
    }

    private long bytes(PrefillWork work) {
        return work.promptTokens() * fleet.link().bytesPerToken();
    }

    private void recordLoad() {
        reportedLoad.record(allocator.load(), time.nowMicros());
    }

    private long micros(long tokens) {
        return Math.round(tokens * 1_000 / fleet.prefill().tokensPerMilli());
    }
}
