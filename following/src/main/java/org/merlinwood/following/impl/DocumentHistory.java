package org.merlinwood.following.impl;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** Retains the latest texts of one document, within a bound, as bases of deltas. Confined to the control thread. */
final class DocumentHistory {

    private static final int MAXIMUM_REVISIONS = 16;
    private static final int MAXIMUM_CHARACTERS = 4 << 20;

    private record RetainedText(long revision, String text) {}

    private final DocumentKind kind;
    private final Deque<RetainedText> retained = new ArrayDeque<>();
    private Optional<DocumentUpdate> latestDelta = Optional.empty();

    DocumentHistory(DocumentKind kind) {
        this.kind = kind;
    }

    /** Adds the revision that has become active; evicts the oldest beyond the bound. */
    void add(long revision, String text) {
        retained.addLast(new RetainedText(revision, text));
        latestDelta = Optional.empty();
        while (retained.size() > 1 && (retained.size() > MAXIMUM_REVISIONS || characters() > MAXIMUM_CHARACTERS)) {
            retained.removeFirst();
        }
    }

    /** Returns the update for a process that has the given revision; empty if it is not lower than the active one. */
    Optional<DocumentUpdate> since(long knownRevision) {
        if (retained.isEmpty() || retained.getLast().revision() <= knownRevision) {
            return Optional.empty();
        }
        return Optional.of(delta(knownRevision).orElseGet(this::whole));
    }

    private Optional<DocumentUpdate> delta(long knownRevision) {
        if (latestDelta.isPresent() && latestDelta.get().baseRevision() == knownRevision) {
            return latestDelta;
        }
        Optional<RetainedText> base = retained.stream()
                .filter(text -> text.revision() == knownRevision)
                .findFirst();
        if (base.isEmpty()) {
            return Optional.empty();
        }
        RetainedText last = retained.getLast();
        ByteString content = TextDelta.encode(base.get().text(), last.text());
        latestDelta = Optional.of(new DocumentUpdate(kind, last.revision(), knownRevision, content));
        return latestDelta;
    }

    private DocumentUpdate whole() {
        RetainedText last = retained.getLast();
        return new DocumentUpdate(kind, last.revision(), 0, ByteString.copyFromUtf8(last.text()));
    }

    private long characters() {
        return retained.stream().mapToLong(entry -> entry.text().length()).sum();
    }
}
