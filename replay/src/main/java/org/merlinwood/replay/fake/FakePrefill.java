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

/** A prefill engine with its sidecar: computes one prompt after the other and keeps a prefix cache. */
public final class FakePrefill {

    private static final int PROMPTS_AT_ONCE = 1;
    private static final double LINK_SHARE_OF_RESULT_LIFE = 0.5;
    private static final double ASSUMED_BYTES_PER_MILLI = 5_000_000;

    private final VirtualTime time;
    private final Instance instance;
    private final Fleet fleet;
    private final SidecarBehaviour behaviour;
    private final CapacityDesk desk;
    private final Map<Ask, PrefillWork> works = new HashMap<>();
    private final PrefixCache cache;
    private final Link link;
    private final LinkReservation reservation;
    private final LaggingLoad lagging;
    private final CacheListener cacheListener;
    private Optional<Ask> awaitsLink = Optional.empty();
    private Optional<PrefillWork> running = Optional.empty();
    private final Set<Ask> openAsks = new LinkedHashSet<>();
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
        this.desk = CapacityDesk.of(behaviour, time, PROMPTS_AT_ONCE, this::given, this::denied);
        this.cache = new PrefixCache(fleet.prefill().cacheTokens());
        this.link = new Link(fleet.link().bytesPerMilli());
        long longestWaitMillis = Math.round(fleet.prefill().resultLifeMillis() * LINK_SHARE_OF_RESULT_LIFE);
        this.reservation = new LinkReservation(longestWaitMillis, ASSUMED_BYTES_PER_MILLI);
        this.lagging =
                new LaggingLoad(TimeUnit.MILLISECONDS.toMicros(fleet.reports().loadLagMillis()), desk.load());
        this.cacheListener = cacheListener;
    }

    /** Ends the instance with everything that it holds. */
    public void lose() {
        alive = false;
        openAsks.forEach(ask -> FakeNetwork.silence(time, ask));
        openAsks.clear();
        desk.close();
        awaitsLink.ifPresent(ask -> FakeNetwork.silence(time, ask));
        awaitsLink = Optional.empty();
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
     * Forgets a result that was transferred or is not wanted any more.
     *
     * @param bytes its size
     * @param transferMillis how long it used the link, 0 if it was not transferred
     */
    public void forget(long bytes, long transferMillis) {
        reservation.release(bytes);
        reservation.observe(bytes, transferMillis);
        startHeld();
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
        works.put(ask, work);
        openAsks.add(ask);
        desk.request(ask, 1);
        changed();
    }

    private void denied(Ask ask, LoadObservation load) {
        openAsks.remove(ask);
        works.remove(ask);
        FakeNetwork.refuse(time, ask, load);
    }

    private void given(Ask ask) {
        openAsks.remove(ask);
        awaitsLink = Optional.of(ask);
        long patienceMicros = ask.latestStartMicros() - time.nowMicros();
        time.after(patienceMicros, () -> refuseHeld(ask));
        startHeld();
    }

    private void refuseHeld(Ask ask) {
        if (awaitsLink.equals(Optional.of(ask))) {
            awaitsLink = Optional.empty();
            denied(ask, desk.load());
            desk.release(ask);
        }
    }

    private void startHeld() {
        if (!alive || awaitsLink.isEmpty() || isLinkPromised(awaitsLink.get())) {
            return;
        }
        Ask ask = awaitsLink.get();
        awaitsLink = Optional.empty();
        PrefillWork work = works.remove(ask);
        if (ask.isClosed()) {
            desk.release(ask);
        } else {
            start(ask, work);
        }
    }

    private boolean isLinkPromised(Ask ask) {
        long waitMicros = TimeUnit.MILLISECONDS.toMicros(reservation.waitMillis());
        return behaviour == SidecarBehaviour.GRANT_BOOK && waitMicros > micros(ask.tokens());
    }

    private void start(Ask ask, PrefillWork work) {
        desk.use(ask);
        FakeNetwork.grant(time, ask, desk.load());
        long computedTokens = Math.max(1, work.promptTokens() - cache.cachedTokens(work.blocks()));
        work.started().accept(computedTokens);
        running = Optional.of(work);
        reservation.reserve(bytes(work));
        long begunMicros = time.nowMicros();
        time.after(micros(computedTokens), () -> finish(ask, work, computedTokens, begunMicros));
    }

    private void finish(Ask ask, PrefillWork work, long computedTokens, long begunMicros) {
        if (!alive) {
            return;
        }
        running = Optional.empty();
        cache.store(work.blocks());
        cacheListener.stored(instance.name(), work.blocks());
        PrefillResult result = new PrefillResult(this, computedTokens, bytes(work), begunMicros, time.nowMicros());
        FakeNetwork.send(time, () -> work.done().accept(result));
        desk.release(ask);
        changed();
    }

    private long bytes(PrefillWork work) {
        return work.promptTokens() * fleet.link().bytesPerToken();
    }

    private void changed() {
        lagging.changed(desk.load(), time.nowMicros());
    }

    private long micros(long tokens) {
        return Math.round(tokens * 1_000 / fleet.prefill().tokensPerMilli());
    }
}
