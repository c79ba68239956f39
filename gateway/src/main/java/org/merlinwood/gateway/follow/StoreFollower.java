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
 * Keeps a copy of the store: lists it once, then watches it, and takes changes that peers relay.
 *
 * <p>Used by the event loop alone; started once, lives as long as the process. A key that is removed while the store
 * was in trouble a moment ago is kept for {@link #REMOVAL_DELAY_MILLIS}: registrations that lapsed during an outage
 * come back within that time if their instance lives.
 */
public final class StoreFollower {

    /** How long a watch may wait for a change, in milliseconds; also bounds how late a silent store is noticed. */
    static final long WATCH_WAIT_MILLIS = 2_000;

    /** Longest time of an answer beyond the wait, in milliseconds: a slow store takes some hundred. */
    static final long ANSWER_LIMIT_MILLIS = 1_000;

    /** Pause between two watches, in milliseconds: gathers changes, and bounds the calls to the store. */
    static final long WATCH_PAUSE_MILLIS = 150;

    /** Pause after a failure, in milliseconds. */
    static final long FAILURE_PAUSE_MILLIS = 300;

    /** How long this process waits for its own watch before it asks a peer that knows more, in milliseconds. */
    static final long LAG_MILLIS = 400;

    /** The time for which the store counts as troubled after a failure, in milliseconds. */
    static final long TROUBLE_MILLIS = 3_000;

    /** How long a removal waits after trouble, in milliseconds: the platform's bound for registrations to return. */
    static final long REMOVAL_DELAY_MILLIS = 2_000;

    private final StoreProtocol protocol;
    private final HttpClient client;
    private final EventLoop loop;
    private final MillisClock clock;
    private final StoreListener listener;
    private final StoreCopy copy = new StoreCopy();
    private final Map<String, StoreChange> delayedRemovals = new HashMap<>();
    private long lastTroubleMillis = Long.MIN_VALUE / 2;
    private long advancedMillis;
    private boolean reachable;
    private boolean listed;

    /**
     * Creates a follower.
     *
     * @param protocol writes the calls
     * @param client sends them
     * @param loop the thread that it works on
     * @param clock the time
     * @param listener hears of changes
     */
    public StoreFollower(
            StoreProtocol protocol, HttpClient client, EventLoop loop, MillisClock clock, StoreListener listener) {
        this.protocol = protocol;
        this.client = client;
        this.loop = loop;
        this.clock = clock;
        this.listener = listener;
    }

    // ------------------------------------------------------------------ public API

    /** Begins to read. */
    public void start() {
        list(new Listing());
    }

    /**
     * Returns the revision up to which this process may tell peers of changes.
     *
     * @return the revision; below any removal that still waits
     */
    public long revision() {
        return delayedRemovals.values().stream()
                .mapToLong(StoreChange::revision)
                .reduce(copy.revision(), (one, other) -> Math.min(one, other - 1));
    }

    /**
     * Tells whether a peer has known more of the store for a while.
     *
     * @param peerRevision revision that the peer knows
     * @return true if the peer is to be asked for its changes
     */
    public boolean isBehind(long peerRevision) {
        return peerRevision > revision() && clock.monotonicMillis() - advancedMillis > LAG_MILLIS;
    }

    /**
     * Returns what a peer lacks.
     *
     * @param after revision that the peer has
     * @return the changes behind it
     */
    public List<StoreChange> changesAfter(long after) {
        return copy.changesAfter(after);
    }

    /**
     * Takes changes that a peer relayed.
     *
     * @param changes the changes
     * @param revision revision up to which they are complete
     */
    public void applyRelayed(List<StoreChange> changes, long revision) {
        changes.forEach(this::applyNow);
        advance(revision);
    }

    // ------------------------------------------------------------------ listing

    private static final class Listing {
        private final Set<String> keys = new HashSet<>();
        private String afterKey = "";
        private long startRevision = -1;
    }

    private void list(Listing listing) {
        send(protocol.list(listing.afterKey), ANSWER_LIMIT_MILLIS, answer -> onPage(listing, answer));
    }

    private void onPage(Listing listing, StoreResponse answer) {
        switch (answer) {
            case StoreResponse.Changes page -> {
                takePage(listing, page);
                if (page.hasMore() && !page.changes().isEmpty()) {
                    list(listing);
                } else {
                    finishListing(listing);
                }
            }
            case StoreResponse.HistoryCompacted gone -> loop.schedule(FAILURE_PAUSE_MILLIS, () -> list(new Listing()));
            case StoreResponse.Failed failed -> loop.schedule(FAILURE_PAUSE_MILLIS, () -> list(new Listing()));
        }
    }

    private void takePage(Listing listing, StoreResponse.Changes page) {
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

    // ------------------------------------------------------------------ watching

    private void watch(long after) {
        send(
                protocol.watch(after, WATCH_WAIT_MILLIS),
                WATCH_WAIT_MILLIS + ANSWER_LIMIT_MILLIS,
                answer -> onWatched(after, answer));
    }

    private void onWatched(long after, StoreResponse answer) {
        switch (answer) {
            case StoreResponse.Changes changes -> {
                changes.changes().forEach(this::apply);
                advance(changes.revision());
                loop.schedule(WATCH_PAUSE_MILLIS, () -> watch(Math.max(after, changes.revision())));
            }
            case StoreResponse.HistoryCompacted gone -> {
                noteTrouble("the history behind revision " + after + " is gone");
                list(new Listing());
            }
            case StoreResponse.Failed failed -> loop.schedule(FAILURE_PAUSE_MILLIS, () -> watch(after));
        }
    }

    // ------------------------------------------------------------------ internals

    private interface ResponseHandler {
        void onAnswer(StoreResponse answer);
    }

    private void send(HttpRequest call, long limitMillis, ResponseHandler handler) {
        client.execute(
                call.withTimeouts(ANSWER_LIMIT_MILLIS, limitMillis),
                result -> loop.execute(() -> handler.onAnswer(classify(result))));
    }

    private StoreResponse classify(Either<Failure, HttpResponse> result) {
        StoreResponse answer = result.fold(
                failure -> new StoreResponse.Failed(failure.code() + ": " + failure.detail()), protocol::read);
        if (answer instanceof StoreResponse.Failed failed) {
            noteTrouble(failed.reason());
        } else if (!reachable) {
            reachable = true;
            listener.onReachable(true, listed ? "answers again" : "answers");
        }
        return answer;
    }

    private void noteTrouble(String reason) {
        lastTroubleMillis = clock.monotonicMillis();
        if (reachable) {
            reachable = false;
            listener.onReachable(false, reason);
        }
    }

    private void advance(long revision) {
        if (revision > copy.revision()) {
            advancedMillis = clock.monotonicMillis();
        }
        copy.advance(revision);
    }

    private void apply(StoreChange change) {
        boolean troubled = clock.monotonicMillis() - lastTroubleMillis < TROUBLE_MILLIS;
        if (change.value().isEmpty() && troubled) {
            delay(change);
        } else {
            applyNow(change);
        }
    }

    private void delay(StoreChange removal) {
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
