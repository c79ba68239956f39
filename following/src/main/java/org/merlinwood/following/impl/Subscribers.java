package org.merlinwood.following.impl;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.Revisions;

/**
 * The peers that subscribe to revisions of this process, at most one subscription per instance. Confined to the control
 * thread.
 */
final class Subscribers {

    private static final int MAXIMUM_SUBSCRIBERS = 4_096;

    private static final class Subscriber {
        private final Predicate<List<DocumentUpdate>> sender;
        private Revisions sentRevisions;

        private Subscriber(Predicate<List<DocumentUpdate>> sender, Revisions sent) {
            this.sender = sender;
            this.sentRevisions = sent;
        }
    }

    private final DocumentStore store;
    private final Map<InstanceName, Subscriber> subscribers = new HashMap<>();

    Subscribers(DocumentStore store) {
        this.store = store;
    }

    /**
     * Adds a peer and sends the updates it lacks. An empty list is sent too, as it confirms the subscription.
     *
     * @return false if the maximum number of subscribers is reached
     */
    boolean add(InstanceName name, Revisions known, Predicate<List<DocumentUpdate>> sender) {
        if (subscribers.size() >= MAXIMUM_SUBSCRIBERS && !subscribers.containsKey(name)) {
            return false;
        }
        if (sender.test(store.since(known))) {
            subscribers.put(name, new Subscriber(sender, highest(known, store.revisions())));
        }
        return true;
    }

    /** Removes a peer, unless a newer subscription with another sender has replaced this one. */
    void remove(InstanceName name, Predicate<List<DocumentUpdate>> sender) {
        subscribers.computeIfPresent(name, (ignored, current) -> current.sender.equals(sender) ? null : current);
    }

    /** Sends every subscriber the updates it lacks; removes those that can't be reached. */
    void publish() {
        subscribers.values().removeIf(subscriber -> !send(subscriber));
    }

    int count() {
        return subscribers.size();
    }

    private boolean send(Subscriber subscriber) {
        List<DocumentUpdate> updates = store.since(subscriber.sentRevisions);
        subscriber.sentRevisions = highest(subscriber.sentRevisions, store.revisions());
        return updates.isEmpty() || subscriber.sender.test(updates);
    }

    private static Revisions highest(Revisions first, Revisions second) {
        return new Revisions(Math.max(first.inventory(), second.inventory()), Math.max(first.rules(), second.rules()));
    }
}
