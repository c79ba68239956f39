package org.merlinwood.following.impl;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.Failure;

/**
 * Maintains one subscription, to the first candidate that responds. Confined to the control thread.
 *
 * <p>If no candidate responds, the listener is notified and all candidates are tried again after a delay.
 */
final class PeerSubscriber {

    private static final long RESPONSE_TIMEOUT_MILLIS = 1_500;
    private static final long RETRY_DELAY_MILLIS = 3_000;
    private static final long RESUBSCRIBE_JITTER_MILLIS = 200;

    /** Receives events of the subscription, on the control thread. */
    interface Listener {
        /** Called for each message of the subscription; the first may be empty. */
        void onUpdates(Peer peer, List<DocumentUpdate> updates);

        /** Called when a candidate has sent its first updates. */
        void onSubscribed();

        /** Called when no candidate has responded. */
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

    /** Sets the candidates. An existing subscription to one of them is kept; otherwise a new one is started. */
    void follow(List<NetworkAddress> newCandidates) {
        boolean unchanged = running && candidates.equals(newCandidates);
        candidates = newCandidates;
        boolean remainsCandidate = subscribedTo.isPresent() && newCandidates.contains(subscribedTo.get());
        if (unchanged || (running && remainsCandidate)) {
            return;
        }
        running = true;
        restart();
    }

    void stop() {
        running = false;
        cancelSubscription();
    }

    /** Replaces the subscription, as needed after the process was paused. */
    void restart() {
        if (running) {
            cancelSubscription();
            attempt(0);
        }
    }

    // ------------------------------------------------------------------ state

    boolean isSubscribedToOneOf(List<NetworkAddress> addresses) {
        return subscribedTo.isPresent() && addresses.contains(subscribedTo.get());
    }

    /** Returns the address of the peer, empty if there is no subscription. */
    String subscribedTo() {
        return subscribedTo.map(NetworkAddress::toString).orElse("");
    }

    // ------------------------------------------------------------------ internals

    private void attempt(int index) {
        int attempt = ++generation;
        if (index >= candidates.size()) {
            scheduleAttempt(attempt, jitter.around(RETRY_DELAY_MILLIS), 0);
            listener.onExhausted();
            return;
        }
        NetworkAddress candidate = candidates.get(index);
        Peer peer = peers.at(candidate);
        subscription = Optional.of(peer.subscribe(known.get(), new Peer.Listener() {
            @Override
            public void onUpdates(List<DocumentUpdate> updates) {
                if (attempt == generation) {
                    onSubscriptionUpdates(candidate, peer, updates);
                }
            }

            @Override
            public void onEnded(Failure failure) {
                if (attempt == generation) {
                    onSubscriptionEnded(index);
                }
            }
        }));
        timer.schedule(RESPONSE_TIMEOUT_MILLIS, () -> {
            if (attempt == generation && subscribedTo.isEmpty()) {
                cancelSubscription();
                attempt(index + 1);
            }
        });
    }

    private void onSubscriptionUpdates(NetworkAddress candidate, Peer peer, List<DocumentUpdate> updates) {
        boolean first = subscribedTo.isEmpty();
        subscribedTo = Optional.of(candidate);
        listener.onUpdates(peer, updates);
        if (first) {
            listener.onSubscribed();
        }
    }

    private void onSubscriptionEnded(int index) {
        boolean wasSubscribed = subscribedTo.isPresent();
        cancelSubscription();
        if (wasSubscribed) {
            scheduleAttempt(generation, jitter.upTo(RESUBSCRIBE_JITTER_MILLIS), 0);
        } else {
            attempt(index + 1);
        }
    }

    private void scheduleAttempt(int expectedGeneration, long delayMillis, int index) {
        timer.schedule(delayMillis, () -> {
            if (running && expectedGeneration == generation) {
                attempt(index);
            }
        });
    }

    private void cancelSubscription() {
        generation++;
        subscription.ifPresent(Peer.Subscription::end);
        subscription = Optional.empty();
        subscribedTo = Optional.empty();
    }
}
