package org.merlinwood.standin.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.merlinwood.core.time.MillisClock;

/** All revisions of one document, of which the latest ones can be hidden. Thread-safe. */
final class DocumentHistory {

    private final List<PublishedDocument> revisions = new ArrayList<>();
    private final MillisClock clock;
    private long highestVisible = Long.MAX_VALUE;
    private long wakeUps;

    DocumentHistory(MillisClock clock) {
        this.clock = clock;
    }

    /** Adds the next revision and wakes all waiting threads. */
    synchronized PublishedDocument publish(String content) {
        PublishedDocument document = new PublishedDocument(revisions.size() + 1, content);
        revisions.add(document);
        notifyAll();
        return document;
    }

    /** Hides revisions above the given one, as a stale replica does. */
    synchronized void showUpTo(long revision) {
        highestVisible = revision;
        notifyAll();
    }

    synchronized Optional<PublishedDocument> latestVisible() {
        return revisions.stream()
                .filter(document -> document.revision() <= highestVisible)
                .reduce((earlier, later) -> later);
    }

    /**
     * Waits until a revision above the given one is visible. Returns early on {@link #wake()}.
     *
     * @return the latest visible revision, or empty if none is above the given one
     */
    synchronized Optional<PublishedDocument> awaitAfter(long after, long waitMillis) throws InterruptedException {
        long deadlineMillis = clock.monotonicMillis() + waitMillis;
        long wakeUpsBefore = wakeUps;
        long remainingMillis = waitMillis;
        while (remainingMillis > 0 && wakeUps == wakeUpsBefore && !hasVisibleAfter(after)) {
            wait(remainingMillis);
            remainingMillis = deadlineMillis - clock.monotonicMillis();
        }
        return latestVisible().filter(document -> document.revision() > after);
    }

    /** Ends all waits in {@link #awaitAfter}. */
    synchronized void wake() {
        wakeUps++;
        notifyAll();
    }

    private boolean hasVisibleAfter(long after) {
        return latestVisible().filter(document -> document.revision() > after).isPresent();
    }
}
