package org.merlinwood.standin.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.merlinwood.core.time.MillisClock;

/** All revisions of one document. Thread-safe. */
final class DocumentHistory {

    private final List<PublishedDocument> revisions = new ArrayList<>();
    private final MillisClock clock;
    private long highestShown = Long.MAX_VALUE;
    private long wakeUps;

    DocumentHistory(MillisClock clock) {
        this.clock = clock;
    }

    /** Publishes the next revision. */
    synchronized PublishedDocument publish(String content) {
        PublishedDocument document = new PublishedDocument(revisions.size() + 1, content);
        revisions.add(document);
        notifyAll();
        return document;
    }

    /** Hides revisions above a bound, as a stale replica does. */
    synchronized void showUpTo(long revision) {
        highestShown = revision;
        notifyAll();
    }

    synchronized Optional<PublishedDocument> shown() {
        return revisions.stream()
                .filter(document -> document.revision() <= highestShown)
                .reduce((earlier, later) -> later);
    }

    /** Waits for a revision above another one; woken early by {@link #wake()}. */
    synchronized Optional<PublishedDocument> awaitAfter(long after, long waitMillis) throws InterruptedException {
        long deadlineMillis = clock.monotonicMillis() + waitMillis;
        long wakeUpsBefore = wakeUps;
        long leftMillis = waitMillis;
        while (leftMillis > 0 && wakeUps == wakeUpsBefore && !hasShownAfter(after)) {
            wait(leftMillis);
            leftMillis = deadlineMillis - clock.monotonicMillis();
        }
        return shown().filter(document -> document.revision() > after);
    }

    synchronized void wake() {
        wakeUps++;
        notifyAll();
    }

    private boolean hasShownAfter(long after) {
        return shown().filter(document -> document.revision() > after).isPresent();
    }
}
