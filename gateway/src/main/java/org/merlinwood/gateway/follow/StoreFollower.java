package org.merlinwood.gateway.follow;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.loop.EventLoop;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;

/**
 * Maintains a copy of the configuration store. Lists all keys once, then watches for changes with long polling, and
 * also applies changes relayed by peers.
 *
 * <p>Not thread-safe: used on the event loop only. Started once and runs until the process exits. A removal that
 * arrives shortly after a failure of the store is delayed by {@link #REMOVAL_DELAY_MILLIS}: registrations that expired
 * during an outage are renewed within that time if their instance is still running.
 */
public final class StoreFollower {

    /** Maximum wait of a watch request, in milliseconds. Also limits how late an unresponsive store is detected. */
    static final long WATCH_WAIT_MILLIS = 2_000;

    /** Response timeout in addition to the wait, in milliseconds. A slow store takes a few hundred milliseconds. */
    static final long RESPONSE_TIMEOUT_MILLIS = 1_000;

    /** Pause between two watch requests, in milliseconds. Batches changes and limits the load on the store. */
    static final long WATCH_PAUSE_MILLIS = 150;

    /** Delay before a failed request is retried, in milliseconds. */
    static final long RETRY_DELAY_MILLIS = 300;

    /** Time without progress of this copy before changes are requested from a peer, in milliseconds. */
    static final long RELAY_DELAY_MILLIS = 400;

    /** How long the store is considered unstable after a failure, in milliseconds. */
    static final long UNSTABLE_MILLIS = 3_000;

    /**
     * Delay of a removal while the store is unstable, in milliseconds: the platform's limit for renewing registrations.
     */
    static final long REMOVAL_DELAY_MILLIS = 2_000;

    private final StoreProtocol protocol;
    private final HttpClient client;
    private final EventLoop loop;
    private final MillisClock clock;
    private final StoreListener listener;
    private final StoreCopy copy = new StoreCopy();
    private final Map<String, StoreChange> delayedRemovals = new HashMap<>();
    private long lastFailureMillis = Long.MIN_VALUE / 2;
    private long lastAdvanceMillis;
    private boolean reachable;
    private boolean listed;

    /**
     * Creates a follower.
     *
     * @param protocol encodes requests and decodes responses
     * @param client sends requests to the store
     * @param loop event loop on which all methods are called
     * @param clock monotonic time
     * @param listener receives changes of the store and of its reachability
     */
    public StoreFollower(
            StoreProtocol protocol, HttpClient client, EventLoop loop, MillisClock clock, StoreListener listener) {
        this.protocol = protocol;
        this.client = client;
        this.loop = loop;
        this.clock = clock;
        this.listener = listener;
    }

    /** Starts the initial listing. Call once. */
    public void start() {
        list(new Listing());
    }

    /**
     * Returns the revision up to which all changes have been applied and may be relayed to peers.
     *
     * @return the revision; lower than that of any delayed removal
     */
    public long revision() {
        return delayedRemovals.values().stream()
                .mapToLong(StoreChange::revision)
                .reduce(copy.revision(), (one, other) -> Math.min(one, other - 1));
    }

    /**
     * Returns whether a peer has a later revision and this copy has not advanced for {@link #RELAY_DELAY_MILLIS}.
     *
     * @param peerRevision revision of the peer
     * @return true if changes should be requested from the peer
     */
    public boolean isBehind(long peerRevision) {
        return peerRevision > revision() && clock.monotonicMillis() - lastAdvanceMillis > RELAY_DELAY_MILLIS;
    }

    /**
     * Returns the changes to relay to a peer.
     *
     * @param after revision of the peer
     * @return latest state of each key that changed after that revision
     */
    public List<StoreChange> changesAfter(long after) {
        return copy.changesAfter(after);
    }

    /**
     * Applies changes relayed by a peer. Removals are not delayed.
     *
     * @param changes changed and removed keys
     * @param revision revision up to which the changes are complete
     */
    public void applyRelayed(List<StoreChange> changes, long revision) {
        changes.forEach(this::applyNow);
        advance(revision);
    }

    private static final class Listing {
        private final Set<String> keys = new HashSet<>();
        private String afterKey = "";
        private long startRevision = -1;
    }

    private void list(Listing listing) {
        send(protocol.list(listing.afterKey), RESPONSE_TIMEOUT_MILLIS, response -> onPage(listing, response));
    }

    private void onPage(Listing listing, StoreResponse response) {
        switch (response) {
            case StoreResponse.Changes page -> {
                applyPage(listing, page);
                if (page.hasMore() && !page.changes().isEmpty()) {
                    list(listing);
                } else {
                    finishListing(listing);
                }
            }
            case StoreResponse.HistoryCompacted compacted ->
                loop.schedule(RETRY_DELAY_MILLIS, () -> list(new Listing()));
            case StoreResponse.Failed failed -> loop.schedule(RETRY_DELAY_MILLIS, () -> list(new Listing()));
        }
    }

    private void applyPage(Listing listing, StoreResponse.Changes page) {
        if (listing.startRevision < 0) {
            listing.startRevision = page.revision();
        }
        for (StoreChange change : page.changes()) {
            listing.keys.add(change.key());
            listing.afterKey = change.key();
            apply(change);
        }
    }

    private void finishListing(Listing listing) {
        copy.missingFrom(listing.keys, listing.startRevision).forEach(this::apply);
        advance(listing.startRevision);
        listed = true;
        watch(listing.startRevision);
    }

    private void watch(long after) {
        send(
                protocol.watch(after, WATCH_WAIT_MILLIS),
                WATCH_WAIT_MILLIS + RESPONSE_TIMEOUT_MILLIS,
                response -> onWatchResponse(after, response));
    }

    private void onWatchResponse(long after, StoreResponse response) {
        switch (response) {
            case StoreResponse.Changes changes -> {
                changes.changes().forEach(this::apply);
                advance(changes.revision());
                loop.schedule(WATCH_PAUSE_MILLIS, () -> watch(Math.max(after, changes.revision())));
            }
            case StoreResponse.HistoryCompacted compacted -> {
                recordFailure("the store no longer retains changes after revision " + after);
                list(new Listing());
            }
            case StoreResponse.Failed failed -> loop.schedule(RETRY_DELAY_MILLIS, () -> watch(after));
        }
    }

    private interface ResponseHandler {
        void onResponse(StoreResponse response);
    }

    private void send(HttpRequest request, long readTimeoutMillis, ResponseHandler handler) {
        client.execute(
                request.withTimeouts(RESPONSE_TIMEOUT_MILLIS, readTimeoutMillis),
                result -> loop.execute(() -> handler.onResponse(classify(result))));
    }

    private StoreResponse classify(Either<Failure, HttpResponse> result) {
        StoreResponse response = result.fold(
                failure -> new StoreResponse.Failed(failure.code() + ": " + failure.detail()), protocol::read);
        if (response instanceof StoreResponse.Failed failed) {
            recordFailure(failed.reason());
        } else if (!reachable) {
            reachable = true;
            listener.onReachable(true, listed ? "answers again" : "answers");
        }
        return response;
    }

    private void recordFailure(String reason) {
        lastFailureMillis = clock.monotonicMillis();
        if (reachable) {
            reachable = false;
            listener.onReachable(false, reason);
        }
    }

    private void advance(long revision) {
        if (revision > copy.revision()) {
            lastAdvanceMillis = clock.monotonicMillis();
        }
        copy.advance(revision);
    }

    private void apply(StoreChange change) {
        boolean unstable = clock.monotonicMillis() - lastFailureMillis < UNSTABLE_MILLIS;
        if (change.value().isEmpty() && unstable) {
            delayRemoval(change);
        } else {
            applyNow(change);
        }
    }

    private void delayRemoval(StoreChange removal) {
        delayedRemovals.put(removal.key(), removal);
        loop.schedule(REMOVAL_DELAY_MILLIS, () -> {
            if (delayedRemovals.remove(removal.key(), removal)) {
                applyNow(removal);
            }
        });
    }

    private void applyNow(StoreChange change) {
        delayedRemovals.computeIfPresent(
                change.key(), (key, removal) -> removal.revision() <= change.revision() ? null : removal);
        if (copy.apply(change)) {
            listener.onChange(change);
        }
    }
}
