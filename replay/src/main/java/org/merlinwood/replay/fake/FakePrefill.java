package org.merlinwood.replay.fake;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.decision.admission.LinkReservation;
import org.merlinwood.decision.placement.LoadObservation;
import org.merlinwood.replay.trace.Fleet;

/** A prefill engine with its sidecar: computes one prompt after the other and keeps a prefix cache. */
public final class FakePrefill {

    private static final double LINK_SHARE_OF_RESULT_LIFE = 0.5;
    private static final double ASSUMED_BYTES_PER_MILLI = 5_000_000;

    private final VirtualTime time;
    private final Instance instance;
    private final Fleet fleet;
    private final SidecarBehaviour behaviour;
    private final AskQueue queue;
    private final Map<Ask, PrefillWork> works = new HashMap<>();
    private final PrefixCache cache;
    private final Link link;
    private final LinkReservation reservation;
    private final LaggingLoad lagging;
    private final CacheListener cacheListener;
    private Optional<PrefillWork> running = Optional.empty();
    private long busyUntilMicros;
    private boolean alive = true;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates an idle instance.
     *
     * @param time virtual time
     * @param instance its row of the inventory
     * @param fleet rates and sizes
     * @param behaviour how the sidecar grants
     * @param cacheListener gets cache events
     */
    public FakePrefill(
            VirtualTime time, Instance instance, Fleet fleet, SidecarBehaviour behaviour, CacheListener cacheListener) {
        this.time = time;
        this.instance = instance;
        this.fleet = fleet;
        this.behaviour = behaviour;
        this.queue = new AskQueue(behaviour);
        this.cache = new PrefixCache(fleet.prefill().cacheTokens());
        this.link = new Link(fleet.link().bytesPerMilli());
        long longestWaitMillis = Math.round(fleet.prefill().resultLifeMillis() * LINK_SHARE_OF_RESULT_LIFE);
        this.reservation = new LinkReservation(longestWaitMillis, ASSUMED_BYTES_PER_MILLI);
        this.lagging =
                new LaggingLoad(TimeUnit.MILLISECONDS.toMicros(fleet.reports().loadLagMillis()), load());
        this.cacheListener = cacheListener;
    }

    /** Ends the instance with everything that it holds. */
    public void lose() {
        alive = false;
        queue.drain().forEach(ask -> FakeNetwork.silence(time, ask));
        works.clear();
        running.ifPresent(work -> FakeNetwork.broken(time, work.lost()));
        running = Optional.empty();
    }

    // ------------------------------------------------------------------ public API

    /**
     * Asks for a grant; the prefill begins with it.
     *
     * @param ask the request
     * @param work what runs
     */
    public void ask(Ask ask, PrefillWork work) {
        FakeNetwork.send(time, () -> arrive(ask, work));
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

    /**
     * Forgets a result that was transferred or is not wanted any more.
     *
     * @param bytes its size
     * @param transferMillis how long it used the link, 0 if it was not transferred
     */
    public void forget(long bytes, long transferMillis) {
        reservation.release(bytes);
        reservation.observe(bytes, transferMillis);
        startNext();
    }

    boolean isAlive() {
        return alive;
    }

    Link link() {
        return link;
    }

    // ------------------------------------------------------------------ internals

    private void arrive(Ask ask, PrefillWork work) {
        if (!alive) {
            FakeNetwork.silence(time, ask);
            return;
        }
        if (behaviour == SidecarBehaviour.BY_TARGET && startsTooLate(ask)) {
            FakeNetwork.refuse(time, ask, load());
            return;
        }
        works.put(ask, work);
        queue.add(ask);
        time.after(ask.latestStartMicros() - time.nowMicros(), () -> expire(ask));
        startNext();
        changed();
    }

    private boolean startsTooLate(Ask ask) {
        long waitMicros = micros(queue.tokensBefore(ask)) + Math.max(0, busyUntilMicros - time.nowMicros());
        return time.nowMicros() + waitMicros > ask.latestStartMicros();
    }

    private void expire(Ask ask) {
        if (!ask.isClosed()) {
            queue.remove(ask);
            works.remove(ask);
            FakeNetwork.refuse(time, ask, load());
        }
    }

    private void startNext() {
        if (!alive || running.isPresent()) {
            return;
        }
        Optional<Ask> next = queue.next();
        if (next.isEmpty() || awaitsLink(next.get())) {
            return;
        }
        queue.remove(next.get());
        start(next.get(), works.remove(next.get()));
    }

    private boolean awaitsLink(Ask ask) {
        long waitMicros = TimeUnit.MILLISECONDS.toMicros(reservation.waitMillis());
        return behaviour == SidecarBehaviour.BY_TARGET && waitMicros > micros(ask.tokens());
    }

    private void start(Ask ask, PrefillWork work) {
        FakeNetwork.grant(time, ask, load());
        long computedTokens = Math.max(1, work.promptTokens() - cache.cachedTokens(work.blocks()));
        work.started().accept(computedTokens);
        running = Optional.of(work);
        reservation.reserve(bytes(work));
        long workMicros = micros(computedTokens);
        busyUntilMicros = time.nowMicros() + workMicros;
        long begunMicros = time.nowMicros();
        time.after(workMicros, () -> finish(work, computedTokens, begunMicros));
    }

    private void finish(PrefillWork work, long computedTokens, long begunMicros) {
        if (!alive) {
            return;
        }
        running = Optional.empty();
        cache.store(work.blocks());
        cacheListener.stored(instance.name(), work.blocks());
        long bytes = bytes(work);
        PrefillResult result = new PrefillResult(this, computedTokens, bytes, begunMicros, time.nowMicros());
        FakeNetwork.send(time, () -> work.done().accept(result));
        startNext();
        changed();
    }

    private long bytes(PrefillWork work) {
        return work.promptTokens() * fleet.link().bytesPerToken();
    }

    private LoadObservation load() {
        long queuedTokens = queue.tokens() + remainingTokens();
        long waitMillis = TimeUnit.MICROSECONDS.toMillis(micros(queuedTokens));
        int busy = running.isPresent() ? 1 : 0;
        return new LoadObservation(
                instance.pieces(), instance.pieces(), busy, queue.size(), waitMillis, queuedTokens, false);
    }

    private long remainingTokens() {
        long remainingMicros = Math.max(0, busyUntilMicros - time.nowMicros());
        return Math.round(remainingMicros * fleet.prefill().tokensPerMilli() / 1_000);
    }

    private void changed() {
        lagging.changed(load(), time.nowMicros());
    }

    private long micros(long tokens) {
        return Math.round(tokens * 1_000 / fleet.prefill().tokensPerMilli());
    }
}
