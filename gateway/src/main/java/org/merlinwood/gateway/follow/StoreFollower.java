package org.merlinwood.gateway.follow;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.loop.EventLoop;
import org.merlinwood.http.ConnectionUse;
import org.merlinwood.http.HttpClient;

/**
 * Maintains a copy of the configuration store. Lists all keys once, then watches for changes with long polling, and
 * also applies changes relayed by peers.
 *
 * <p>Not thread-safe: used on the event loop only. Started once and runs until the process exits.
 *
 * <p>A removal that arrives after an outage of the store is delayed until {@link #REMOVAL_DELAY_MILLIS} after its end:
 * registrations that expired during an outage are renewed within that time if their instance is still running. An open
 * connection that falls silent is no outage: the store is asked again at once on a new connection, and only if it
 * doesn't answer there it is away.
 */
public final class StoreFollower {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** Pause between two watch requests, in milliseconds. Batches changes and limits the load on the store. */
    static final long WATCH_PAUSE_MILLIS = 150;

    /** Delay before a failed request is retried, in milliseconds. */
    static final long RETRY_DELAY_MILLIS = 300;

    /** Time without progress of this copy before changes are requested from a peer, in milliseconds. */
    static final long RELAY_DELAY_MILLIS = 400;

    /**
     * Time after an outage of the store until which removals are delayed, in milliseconds: the platform's limit for
     * renewing registrations. After a restore it also delays changes that a backup may bring back.
     */
    static final long REMOVAL_DELAY_MILLIS = 2_000;

    private final StoreRequests requests;
    private final EventLoop loop;
    private final MillisClock clock;
    private final StoreListener listener;
    private final StoreCopy copy = new StoreCopy();
    private final CopyConfirmation confirmation;
    private final Map<String, StoreChange> delayedChanges = new HashMap<>();
    private final StoreStability stability;
    private long lastAdvanceMillis;
    private long era;
    private long restoredMillis = Long.MIN_VALUE / 2;
    private boolean reachable;
    private boolean listed;
    private Runnable firstListingAction = () -> {};

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
        this.requests = new StoreRequests(protocol, client, loop);
        this.loop = loop;
        this.clock = clock;
        this.listener = listener;
        this.confirmation = new CopyConfirmation(clock);
        this.stability = new StoreStability(clock);
    }

    /**
     * Returns up to which time this copy is known to be complete.
     *
     * @return the state, which changes with each read
     */
    public CopyConfirmation confirmation() {
        return confirmation;
    }

    /**
     * Sets what follows the first listing.
     *
     * @param action run once, when all keys have been applied; set before {@link #start()}
     */
    public void onFirstListing(Runnable action) {
        firstListingAction = action;
    }

    /** Starts the initial listing. Call once. */
    public void start() {
        listAll(ConnectionUse.POOLED);
    }

    /** Returns whether all keys have been read once. */
    boolean isListed() {
        return listed;
    }

    /**
     * Returns the position up to which all changes have been read, though some may be delayed.
     *
     * @return the position, or {@link StorePosition#START} before the first listing is complete
     */
    public StorePosition readPosition() {
        return copy.position();
    }

    /**
     * Applies changes that were read beside the watch that waits.
     *
     * @param changes all changes behind a position
     * @param after that position
     * @param sentAt when the read was sent
     * @return false if they are of another era than this copy, and were not applied
     */
    boolean applyRead(StoreResponse.Changes changes, StorePosition after, CopyConfirmation.Moment sentAt) {
        if (changes.position().era() != after.era() || era != after.era()) {
            return false;
        }
        changes.changes().forEach(this::apply);
        confirmation.confirm(sentAt, changes.position());
        return true;
    }

    /**
     * Returns the position up to which all changes have been applied and may be relayed to peers.
     *
     * @return the position; earlier than that of any delayed change
     */
    public StorePosition position() {
        return delayedChanges.values().stream()
                .map(change -> change.position().previous())
                .reduce(copy.position(), (one, other) -> one.isAfter(other) ? other : one);
    }

    /**
     * Returns the era of the store.
     *
     * @return the highest era that the store or a peer has reported
     */
    public long era() {
        return era;
    }

    /**
     * Returns whether a peer has a later position and this copy has not advanced for {@link #RELAY_DELAY_MILLIS}.
     *
     * @param peerPosition position of the peer
     * @return true if changes should be requested from the peer
     */
    public boolean isBehind(StorePosition peerPosition) {
        return peerPosition.isAfter(position()) && clock.monotonicMillis() - lastAdvanceMillis > RELAY_DELAY_MILLIS;
    }

    /**
     * Returns the changes to relay to a peer.
     *
     * @param after position of the peer
     * @return latest state of each key that changed after that position
     */
    public List<StoreChange> changesAfter(StorePosition after) {
        return copy.changesAfter(after);
    }

    /**
     * Applies changes relayed by a peer. Removals are not delayed, except after a restore. A peer that has not seen the
     * latest restore is ignored.
     *
     * @param changes changed and removed keys; all keys if the position is of an era that is new here
     * @param position position up to which the changes are complete
     */
    public void applyRelayed(List<StoreChange> changes, StorePosition position) {
        if (position.era() < era) {
            return;
        }
        if (observeEra(position.era())) {
            Set<String> keys = changes.stream().map(StoreChange::key).collect(Collectors.toSet());
            copy.missingFrom(keys, position).forEach(this::apply);
        }
        changes.forEach(isRestoring() ? this::apply : this::applyNow);
        advance(position);
    }

    /** Lists all keys anew, the first page on a pooled or a fresh connection. */
    private void listAll(ConnectionUse use) {
        list(new StoreListing(confirmation.now()), use);
    }

    private void list(StoreListing listing, ConnectionUse use) {
        requests.list(listing.lastKey(), use, response -> onPage(listing, record(response)));
    }

    private void onPage(StoreListing listing, StoreResponse response) {
        switch (response) {
            case StoreResponse.Changes page -> {
                if (listing.isOfOtherEra(page)) {
                    listAll(ConnectionUse.POOLED);
                    return;
                }
                applyPage(listing, page);
                if (page.hasMore() && !page.changes().isEmpty()) {
                    list(listing, ConnectionUse.POOLED);
                } else {
                    finishListing(listing);
                }
            }
            case StoreResponse.HistoryCompacted compacted ->
                loop.schedule(RETRY_DELAY_MILLIS, () -> listAll(ConnectionUse.FRESH));
            case StoreResponse.ConnectionFailed failed -> listAll(ConnectionUse.FRESH);
            case StoreResponse.Failed failed -> loop.schedule(RETRY_DELAY_MILLIS, () -> listAll(ConnectionUse.FRESH));
        }
    }

    private void applyPage(StoreListing listing, StoreResponse.Changes page) {
        if (listing.start().isEmpty()) {
            observeEra(page.position().era());
        }
        listing.add(page);
        page.changes().forEach(this::apply);
    }

    private void finishListing(StoreListing listing) {
        StorePosition start = listing.start().orElseThrow();
        copy.missingFrom(listing.keys(), start).forEach(this::apply);
        advance(start);
        confirmation.confirm(listing.sentAt(), start);
        if (!listed) {
            listed = true;
            firstListingAction.run();
        }
        watch(start);
    }

    private void watch(StorePosition after) {
        CopyConfirmation.Moment sentAt = confirmation.now();
        requests.watch(after.revision(), response -> onWatchResponse(after, sentAt, record(response)));
    }

    /** Asks for the changes so far on a new connection, before the next watch. */
    private void readAgain(StorePosition after) {
        CopyConfirmation.Moment sentAt = confirmation.now();
        requests.readChanges(after.revision(), response -> onWatchResponse(after, sentAt, record(response)));
    }

    private void onWatchResponse(StorePosition after, CopyConfirmation.Moment sentAt, StoreResponse response) {
        switch (response) {
            case StoreResponse.Changes changes -> {
                if (changes.position().era() != after.era()) {
                    // The revision that the watch started from is of another history.
                    listAll(ConnectionUse.POOLED);
                    return;
                }
                changes.changes().forEach(this::apply);
                advance(changes.position());
                confirmation.confirm(sentAt, changes.position());
                StorePosition next = changes.position().isAfter(after) ? changes.position() : after;
                loop.schedule(WATCH_PAUSE_MILLIS, () -> watch(next));
            }
            case StoreResponse.HistoryCompacted compacted -> {
                recordUnreachable("the store no longer retains changes after revision " + after.revision());
                listAll(ConnectionUse.POOLED);
            }
            case StoreResponse.ConnectionFailed failed -> readAgain(after);
            case StoreResponse.Failed failed -> loop.schedule(RETRY_DELAY_MILLIS, () -> readAgain(after));
        }
    }

    /** Records what a response says of the store, and returns it, or what it counts as. */
    private StoreResponse record(StoreResponse received) {
        StoreResponse response = asOfCurrentEra(received);
        switch (response) {
            case StoreResponse.Failed failed -> recordFailure(failed.reason());
            case StoreResponse.ConnectionFailed failed -> onConnectionFailed(failed);
            case StoreResponse.Changes changes -> recordAnswer();
            case StoreResponse.HistoryCompacted compacted -> recordAnswer();
        }
        return response;
    }

    /** Returns a response; a late one that was sent before the latest known restore counts as failed. */
    private StoreResponse asOfCurrentEra(StoreResponse response) {
        return response instanceof StoreResponse.Changes changes
                        && changes.position().era() < era
                ? new StoreResponse.Failed("the response is older than the restore of the store")
                : response;
    }

    /**
     * Begins an era if it is higher than the known one; returns whether this copy was of an earlier era. Its position
     * stays in that era until all keys of the new one are read.
     */
    private boolean observeEra(long observedEra) {
        if (observedEra <= era) {
            return false;
        }
        long previousEra = era;
        era = observedEra;
        if (!listed) {
            return false;
        }
        restoredMillis = clock.monotonicMillis();
        listener.onRestored(previousEra, era);
        return true;
    }

    private boolean isRestoring() {
        return clock.monotonicMillis() - restoredMillis < REMOVAL_DELAY_MILLIS;
    }

    private void recordFailure(String reason) {
        stability.recordFailure();
        recordUnreachable(reason);
    }

    /**
     * Handles the failure of a connection, before the store is asked again on a new one. A store that falls silent
     * answers there no more; one that goes away may end its connections and be back at once.
     */
    private void onConnectionFailed(StoreResponse.ConnectionFailed failed) {
        if (!failed.silent()) {
            stability.recordFailure();
        }
        recordUnreachable("only a connection so far: " + failed.reason());
    }

    private void recordUnreachable(String reason) {
        if (reachable) {
            reachable = false;
            listener.onReachable(false, reason);
        }
    }

    private void recordAnswer() {
        stability.recordAnswer();
        if (!reachable) {
            reachable = true;
            listener.onReachable(true, listed ? "answers again" : "answers");
        }
    }

    private void advance(StorePosition position) {
        if (position.isAfter(copy.position())) {
            lastAdvanceMillis = clock.monotonicMillis();
        }
        copy.advance(position);
    }

    private void apply(StoreChange change) {
        long delayMillis = delayMillis(change);
        if (delayMillis > 0) {
            delay(change, delayMillis);
        } else {
            applyNow(change);
        }
    }

    /**
     * Returns for how long a change may yet be undone, in milliseconds: a registration that expired during an outage,
     * or a key that is missing or older in the backup from which the store was restored. 0 if it is final.
     */
    private long delayMillis(StoreChange change) {
        boolean removal = change.value().isEmpty();
        if (isRestoring() && (removal || copy.isRemoved(change.key()) || listener.revives(change))) {
            return REMOVAL_DELAY_MILLIS;
        }
        return removal ? stability.removalDelayMillis() : 0;
    }

    private void delay(StoreChange change, long delayMillis) {
        delayedChanges.put(change.key(), change);
        loop.schedule(delayMillis, () -> {
            if (delayedChanges.remove(change.key(), change)) {
                applyNow(change);
            }
        });
    }

    private void applyNow(StoreChange change) {
        delayedChanges.computeIfPresent(
                change.key(), (key, delayed) -> delayed.position().isAfter(change.position()) ? delayed : null);
        if (copy.apply(change)) {
            notifyListener(change);
        }
    }

    /** Tells the listener of a change. If that throws, the changes behind it still have to be applied. */
    private void notifyListener(StoreChange change) {
        try {
            listener.onChange(change);
        } catch (RuntimeException exception) {
            logger.atSevere().withCause(exception).log("could not apply the change of %s", change.key());
        }
    }
}
