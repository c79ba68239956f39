package org.merlinwood.following.impl;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.configuration.settings.ProcessSettings;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.Failure;

/**
 * Obtains revisions from peers: queries the seed peers at the start, subscribes to a peer, compares revisions with
 * readers, and fetches from peers that have higher revisions. Confined to the control thread.
 */
final class PeerFollowing implements PeerSubscriber.Listener {

    private static final long COMPARE_INTERVAL_MILLIS = 1_500;
    private static final int SUBSCRIBER_COMPARE_ROUNDS = 10;
    private static final long CATCH_UP_JITTER_MILLIS = 200;
    private static final long CATCH_UP_INTERVAL_MILLIS = 1_000;
    private static final long SEED_RETRY_DELAY_MILLIS = 2_000;
    private static final long SEED_TIMEOUT_MILLIS = 700;
    private static final int FAILURES_BEFORE_BACKUP = 2;

    /** Starts and stops watching the configuration service, on the control thread. */
    interface WatchControl {
        void start();

        void stop();

        boolean isRunning();

        int failures();
    }

    private final ProcessSettings settings;
    private final ControlTimer timer;
    private final Jitter jitter;
    private final DocumentStore store;
    private final Peers peers;
    private final WatchControl watchControl;
    private final PeerSubscriber subscriber;
    private final Counter fetches;
    private final Runnable onSeedsQueried;
    private final List<NetworkAddress> seeds;
    private Optional<ReaderPlan> plan = Optional.empty();
    private int seedRound;
    private int compareRound;
    private boolean catchingUp;
    private boolean fetchingNow;
    private boolean closed;

    PeerFollowing(
            ProcessSettings settings,
            ControlTimer timer,
            Jitter jitter,
            DocumentStore store,
            Peers peers,
            WatchControl watching,
            MetricRegistry metrics,
            Runnable onSeedsAsked) {
        this.settings = settings;
        this.timer = timer;
        this.jitter = jitter;
        this.store = store;
        this.peers = peers;
        this.watchControl = watching;
        this.subscriber = new PeerSubscriber(peers, timer, jitter, store::revisions, this);
        this.fetches = metrics.counter("following.peer.fetches");
        this.onSeedsQueried = onSeedsAsked;
        this.seeds = new ArrayList<>(settings.seedPeers());
        seeds.remove(settings.peerAddress());
        Collections.rotate(seeds, jitter.index(seeds.size() + 1));
    }

    // ------------------------------------------------------------------ life-cycle

    void start() {
        querySeeds();
        timer.schedule(jitter.around(COMPARE_INTERVAL_MILLIS), this::compare);
    }

    void close() {
        closed = true;
        subscriber.stop();
    }

    /** Replaces the subscription and compares revisions, as needed after the process was paused. */
    void restart() {
        subscriber.restart();
        compareNow();
    }

    // ------------------------------------------------------------------ events

    /** Computes a new reader plan for a new active inventory. */
    void onInventory(Inventory inventory) {
        plan = Optional.of(ReaderPlan.of(inventory, settings.instance(), settings.failureDomain()));
        timer.execute(this::reevaluate); // runs after the rules of the same response were applied
    }

    /** Reevaluates whom to follow after a new plan, or after the service watch failed or recovered. */
    void reevaluate() {
        if (closed || plan.isEmpty()) {
            return;
        }
        if (plan.get().nominalReader()) {
            reevaluateReader(plan.get());
        } else {
            reevaluateSubscriber(plan.get());
        }
    }

    /** Schedules a fetch, with jitter, if the revisions of a peer are higher. */
    void onRevisions(Peer peer, Revisions peerRevisions) {
        if (closed || catchingUp || !store.revisions().isBehind(peerRevisions)) {
            return;
        }
        catchingUp = true;
        timer.schedule(jitter.upTo(CATCH_UP_JITTER_MILLIS), () -> {
            if (store.revisions().isBehind(peerRevisions)) {
                fetch(peer, store.revisions());
            }
        });
        timer.schedule(CATCH_UP_INTERVAL_MILLIS, () -> catchingUp = false);
    }

    /** Fetches from a peer without jitter, because a request waits for its revisions. */
    void catchUpNow(Peer peer) {
        if (!closed && !fetchingNow) {
            fetchingNow = true;
            fetch(peer, store.revisions(), () -> fetchingNow = false);
        }
    }

    @Override
    public void onUpdates(Peer peer, List<DocumentUpdate> updates) {
        updates.forEach(update -> apply(peer, update));
    }

    @Override
    public void onSubscribed() {
        if (plan.isPresent() && !plan.get().nominalReader()) {
            watchControl.stop();
        }
    }

    @Override
    public void onExhausted() {
        watchControl.start();
    }

    // ------------------------------------------------------------------ state

    String subscribedTo() {
        return subscriber.subscribedTo();
    }

    // ------------------------------------------------------------------ internals

    private void reevaluateReader(ReaderPlan currentPlan) {
        watchControl.start();
        if (isServiceFailing()) {
            subscriber.follow(currentPlan.backups());
        } else if (watchControl.failures() == 0) {
            subscriber.stop();
        }
    }

    private void reevaluateSubscriber(ReaderPlan currentPlan) {
        boolean usesBackup = subscriber.isSubscribedToOneOf(currentPlan.backups())
                && !subscriber.isSubscribedToOneOf(currentPlan.candidates());
        subscriber.follow(isServiceFailing() || usesBackup ? currentPlan.backups() : currentPlan.candidates());
    }

    private boolean isServiceFailing() {
        return watchControl.isRunning() && watchControl.failures() >= FAILURES_BEFORE_BACKUP;
    }

    /** Queries the seed peers one at a time, so that only the first sends whole documents. */
    private void querySeeds() {
        querySeed(0, ++seedRound);
        timer.schedule(jitter.around(SEED_RETRY_DELAY_MILLIS) + SEED_TIMEOUT_MILLIS * seeds.size(), () -> {
            if (!closed && !store.revisions().isComplete()) {
                querySeeds();
            }
        });
    }

    private void querySeed(int index, int round) {
        if (closed) {
            return;
        }
        if (index >= seeds.size()) {
            onSeedsQueried.run();
            return;
        }
        AtomicBoolean completed = new AtomicBoolean();
        Runnable next = () -> {
            if (round == seedRound && completed.compareAndSet(false, true)) {
                querySeed(index + 1, round);
            }
        };
        fetch(peers.at(seeds.get(index)), store.revisions(), next);
        timer.schedule(SEED_TIMEOUT_MILLIS, next);
    }

    /**
     * Compares revisions with a random reader. A process that reads the service compares in each round. A subscriber
     * compares less often, in case its peer no longer receives updates itself.
     */
    private void compare() {
        if (!closed) {
            compareRound++;
            if (watchControl.isRunning() || compareRound % SUBSCRIBER_COMPARE_ROUNDS == 0) {
                compareNow();
            }
            timer.schedule(jitter.around(COMPARE_INTERVAL_MILLIS), this::compare);
        }
    }

    private void compareNow() {
        List<NetworkAddress> readers = plan.map(ReaderPlan::readers).orElse(List.of());
        if (!readers.isEmpty()) {
            fetch(peers.at(readers.get(jitter.index(readers.size()))), store.revisions());
        }
    }

    private void apply(Peer peer, DocumentUpdate update) {
        if (store.apply(update, peer.name()) == DocumentStore.Applied.NEEDS_WHOLE_TEXT) {
            fetch(peer, revisionsWithout(update.kind()));
        }
    }

    private Revisions revisionsWithout(DocumentKind kind) {
        Revisions known = store.revisions();
        return switch (kind) {
            case INVENTORY -> new Revisions(Revisions.NONE, known.rules());
            case RULES -> new Revisions(known.inventory(), Revisions.NONE);
        };
    }

    private void fetch(Peer peer, Revisions known) {
        fetch(peer, known, () -> {});
    }

    private void fetch(Peer peer, Revisions known, Runnable onDone) {
        fetches.inc();
        peer.fetch(known, new Peer.Listener() {
            @Override
            public void onUpdates(List<DocumentUpdate> updates) {
                if (!closed) {
                    PeerFollowing.this.onUpdates(peer, updates);
                }
                onDone.run();
            }

            @Override
            public void onEnded(Failure failure) {
                onDone.run();
            }
        });
    }
}
