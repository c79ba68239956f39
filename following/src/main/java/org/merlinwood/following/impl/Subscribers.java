package org.merlinwood.following.impl;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.Revisions;

/**
 * The peers that get every revision from this process, one subscription an instance. Used by the control thread alone.
 */
final class Subscribers {

    private static final int MAXIMUM_SUBSCRIBERS = 4_096;

    private static final class Subscriber {
        private final Predicate<List<DocumentUpdate>> sender;
        private Revisions sent;

        private Subscriber(Predicate<List<DocumentUpdate>> sender, Revisions sent) {
            this.sender = sender;
            this.sent = sent;
        }
    }

    private final DocumentStore store;
    private final Map<InstanceName, Subscriber> subscribers = new HashMap<>();

    Subscribers(DocumentStore store) {
        this.store = store;
    }

    /** Adds a peer and sends at once what it lacks, also if that is nothing. False if there are too many. */
    boolean add(InstanceName name, Revisions known, Predicate<List<DocumentUpdate>> sender) {
        if (subscribers.size() >= MAXIMUM_SUBSCRIBERS && !subscribers.containsKey(name)) {
            return false;
        }
        if (sender.test(store.since(known))) {
            subscribers.put(name, new Subscriber(sender, highest(known, store.revisions())));
        }
        return true;
    }

    /** Removes a peer, unless it has subscribed anew by another sender since. */
    void remove(InstanceName name, Predicate<List<DocumentUpdate>> sender) {
        subscribers.computeIfPresent(name, (ignored, current) -> current.sender.equals(sender) ? null : current);
    }

    /** Sends everybody what they lack. */
    void publish() {
        subscribers.values().removeIf(subscriber -> !send(subscriber));
    }

    int count() {
        return subscribers.size();
    }

    private boolean send(Subscriber subscriber) {
        List<DocumentUpdate> updates = store.since(subscriber.sent);
        subscriber.sent = highest(subscriber.sent, store.revisions());
        return updates.isEmpty() || subscriber.sender.test(updates);
    }

    private static Revisions highest(Revisions first, Revisions second) {
        return new Revisions(Math.max(first.inventory(), second.inventory()), Math.max(first.rules(), second.rules()));
    }
}
