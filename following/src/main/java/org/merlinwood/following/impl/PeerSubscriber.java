package org.merlinwood.following.impl;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.Failure;

/**
 * Keeps one subscription to the first candidate that answers. Used by the control thread alone.
 *
 * <p>When none answers it says so and tries again later.
 */
final class PeerSubscriber {

    private static final long ANSWER_LIMIT_MILLIS = 1_500;
    private static final long RETRY_MILLIS = 3_000;
    private static final long LOST_JITTER_MILLIS = 200;

    /** Hears of the subscription, on the control thread. */
    interface Listener {
        void onUpdates(Peer peer, List<DocumentUpdate> updates);

        void onSubscribed();

        void onExhausted();
    }

    private final Peers peers;
    private final ControlTimer timer;
    private final Jitter jitter;
    private final Supplier<Revisions> known;
    private final Listener listener;
    private List<NetworkAddress> candidates = List.of();
    private boolean running;
    private int generation;
    private Optional<Peer.Subscription> subscription = Optional.empty();
    private Optional<NetworkAddress> subscribedTo = Optional.empty();

    PeerSubscriber(Peers peers, ControlTimer timer, Jitter jitter, Supplier<Revisions> known, Listener listener) {
        this.peers = peers;
        this.timer = timer;
        this.jitter = jitter;
        this.known = known;
        this.listener = listener;
    }

    // ------------------------------------------------------------------ life-cycle

    /** Follows one of the candidates; a subscription to any of them is kept. */
    void follow(List<NetworkAddress> newCandidates) {
        boolean unchanged = running && candidates.equals(newCandidates);
        candidates = newCandidates;
        boolean keeps = subscribedTo.isPresent() && newCandidates.contains(subscribedTo.get());
        if (unchanged || (running && keeps)) {
            return;
        }
        running = true;
        restart();
    }

    void stop() {
        running = false;
        drop();
    }

    /** Subscribes anew, as after a pause of the process. */
    void restart() {
        if (running) {
            drop();
            attempt(0);
        }
    }

    // ------------------------------------------------------------------ state

    boolean isSubscribedToOneOf(List<NetworkAddress> addresses) {
        return subscribedTo.isPresent() && addresses.contains(subscribedTo.get());
    }

    /** Address of the peer, empty if none. */
    String subscribedTo() {
        return subscribedTo.map(NetworkAddress::toString).orElse("");
    }

    // ------------------------------------------------------------------ internals

    private void attempt(int index) {
        int attempt = ++generation;
        if (index >= candidates.size()) {
            later(attempt, jitter.around(RETRY_MILLIS), 0);
            listener.onExhausted();
            return;
        }
        NetworkAddress candidate = candidates.get(index);
        Peer peer = peers.at(candidate);
        subscription = Optional.of(peer.subscribe(known.get(), new Peer.Listener() {
            @Override
            public void onUpdates(List<DocumentUpdate> updates) {
                if (attempt == generation) {
                    answered(candidate, peer, updates);
                }
            }

            @Override
            public void onEnded(Failure failure) {
                if (attempt == generation) {
                    ended(index);
                }
            }
        }));
        timer.schedule(ANSWER_LIMIT_MILLIS, () -> {
            if (attempt == generation && subscribedTo.isEmpty()) {
                drop();
                attempt(index + 1);
            }
        });
    }

    private void answered(NetworkAddress candidate, Peer peer, List<DocumentUpdate> updates) {
        boolean first = subscribedTo.isEmpty();
        subscribedTo = Optional.of(candidate);
        listener.onUpdates(peer, updates);
        if (first) {
            listener.onSubscribed();
        }
    }

    private void ended(int index) {
        boolean wasSubscribed = subscribedTo.isPresent();
        drop();
        if (wasSubscribed) {
            later(generation, jitter.upTo(LOST_JITTER_MILLIS), 0);
        } else {
            attempt(index + 1);
        }
    }

    private void later(int expected, long delayMillis, int index) {
        timer.schedule(delayMillis, () -> {
            if (running && expected == generation) {
                attempt(index);
            }
        });
    }

    private void drop() {
        generation++;
        subscription.ifPresent(Peer.Subscription::end);
        subscription = Optional.empty();
        subscribedTo = Optional.empty();
    }
}
