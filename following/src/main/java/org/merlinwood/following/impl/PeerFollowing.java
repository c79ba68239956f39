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
 * Follows through peers: asks the seed peers at the start, subscribes, compares with other readers, and catches up with
 * whoever is ahead. Used by the control thread alone.
 */
final class PeerFollowing implements PeerSubscriber.Listener {

    private static final long COMPARE_MILLIS = 1_500;
    private static final int SUBSCRIBER_COMPARE_TURNS = 10;
    private static final long CATCH_UP_JITTER_MILLIS = 200;
    private static final long CATCH_UP_INTERVAL_MILLIS = 1_000;
    private static final long SEED_RETRY_MILLIS = 2_000;
    private static final long NEXT_SEED_MILLIS = 700;
    private static final int FAILURES_BEFORE_BACKUP = 2;

    /** Decides about the watch of the configuration service, on the control thread. */
    interface Watching {
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
    private final Watching watching;
    private final PeerSubscriber subscriber;
    private final Counter fetches;
    private final Runnable onSeedsAsked;
    private final List<NetworkAddress> seeds;
    private Optional<ReaderPlan> plan = Optional.empty();
    private int seedTurn;
    private int compareTurn;
    private boolean catchingUp;
    private boolean fetchingNow;
    private boolean closed;

    PeerFollowing(
            ProcessSettings settings,
            ControlTimer timer,
            Jitter jitter,
            DocumentStore store,
            Peers peers,
            Watching watching,
            MetricRegistry metrics,
            Runnable onSeedsAsked) {
        this.settings = settings;
        this.timer = timer;
        this.jitter = jitter;
        this.store = store;
        this.peers = peers;
        this.watching = watching;
        this.subscriber = new PeerSubscriber(peers, timer, jitter, store::revisions, this);
        this.fetches = metrics.counter("following.peer.fetches");
        this.onSeedsAsked = onSeedsAsked;
        this.seeds = new ArrayList<>(settings.seedPeers());
        seeds.remove(settings.peerAddress());
        Collections.rotate(seeds, jitter.index(seeds.size() + 1));
    }

    // ------------------------------------------------------------------ life-cycle

    void start() {
        askSeeds();
        timer.schedule(jitter.around(COMPARE_MILLIS), this::compare);
    }

    void close() {
        closed = true;
        subscriber.stop();
    }

    /** Begins anew after a pause of the process. */
    void restart() {
        subscriber.restart();
        compareNow();
    }

    // ------------------------------------------------------------------ events

    /** A new inventory is in force: who reads may have changed. */
    void onInventory(Inventory inventory) {
        plan = Optional.of(ReaderPlan.of(inventory, settings.instance(), settings.failureDomain()));
        timer.execute(this::reevaluate); // behind the rules of the same answer, so that they are known by then
    }

    /** The watch of the service failed or recovered. */
    void reevaluate() {
        if (closed || plan.isEmpty()) {
            return;
        }
        if (plan.get().nominalReader()) {
            reconsiderAsReader(plan.get());
        } else {
            reconsiderAsSubscriber(plan.get());
        }
    }

    /** A correspondent has told of its revisions. */
    void onRevisions(Peer peer, Revisions theirs) {
        if (closed || catchingUp || !store.revisions().isBehind(theirs)) {
            return;
        }
        catchingUp = true;
        timer.schedule(jitter.upTo(CATCH_UP_JITTER_MILLIS), () -> {
            if (store.revisions().isBehind(theirs)) {
                fetch(peer, store.revisions());
            }
        });
        timer.schedule(CATCH_UP_INTERVAL_MILLIS, () -> catchingUp = false);
    }

    /** Fetches from a correspondent at once, since work waits for it. */
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
            watching.stop();
        }
    }

    @Override
    public void onExhausted() {
        watching.start();
    }

    // ------------------------------------------------------------------ state

    String subscribedTo() {
        return subscriber.subscribedTo();
    }

    // ------------------------------------------------------------------ internals

    private void reconsiderAsReader(ReaderPlan order) {
        watching.start();
        if (serviceFails()) {
            subscriber.follow(order.backups());
        } else if (watching.failures() == 0) {
            subscriber.stop();
        }
    }

    private void reconsiderAsSubscriber(ReaderPlan order) {
        boolean onBackup =
                subscriber.isSubscribedToOneOf(order.backups()) && !subscriber.isSubscribedToOneOf(order.candidates());
        subscriber.follow(serviceFails() || onBackup ? order.backups() : order.candidates());
    }

    private boolean serviceFails() {
        return watching.isRunning() && watching.failures() >= FAILURES_BEFORE_BACKUP;
    }

    /** Asks one seed peer after the other, so that only the first sends whole documents. */
    private void askSeeds() {
        askSeed(0, ++seedTurn);
        timer.schedule(jitter.around(SEED_RETRY_MILLIS) + NEXT_SEED_MILLIS * seeds.size(), () -> {
            if (!closed && !store.revisions().isComplete()) {
                askSeeds();
            }
        });
    }

    private void askSeed(int index, int turn) {
        if (closed) {
            return;
        }
        if (index >= seeds.size()) {
            onSeedsAsked.run();
            return;
        }
        AtomicBoolean passed = new AtomicBoolean();
        Runnable next = () -> {
            if (turn == seedTurn && passed.compareAndSet(false, true)) {
                askSeed(index + 1, turn);
            }
        };
        fetch(peers.at(seeds.get(index)), store.revisions(), next);
        timer.schedule(NEXT_SEED_MILLIS, next);
    }

    /** A reader compares at each turn; a subscriber seldom, in case that its peer is cut off from all news itself. */
    private void compare() {
        if (!closed) {
            compareTurn++;
            if (watching.isRunning() || compareTurn % SUBSCRIBER_COMPARE_TURNS == 0) {
                compareNow();
            }
            timer.schedule(jitter.around(COMPARE_MILLIS), this::compare);
        }
    }

    private void compareNow() {
        List<NetworkAddress> readers = plan.map(ReaderPlan::readers).orElse(List.of());
        if (!readers.isEmpty()) {
            fetch(peers.at(readers.get(jitter.index(readers.size()))), store.revisions());
        }
    }

    private void apply(Peer peer, DocumentUpdate update) {
        if (store.apply(update, peer.name()) == DocumentStore.Applied.NEEDS_WHOLE) {
            fetch(peer, without(update.kind()));
        }
    }

    private Revisions without(DocumentKind kind) {
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
