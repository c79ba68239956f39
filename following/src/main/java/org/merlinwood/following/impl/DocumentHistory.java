package org.merlinwood.following.impl;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** The latest texts of one document, bounded, to make deltas from. Used by the control thread alone. */
final class DocumentHistory {

    private static final int MAXIMUM_REVISIONS = 16;
    private static final int MAXIMUM_CHARACTERS = 4 << 20;

    private record RetainedText(long revision, String text) {}

    private final DocumentKind kind;
    private final Deque<RetainedText> kept = new ArrayDeque<>();
    private Optional<DocumentUpdate> latestDelta = Optional.empty();

    DocumentHistory(DocumentKind kind) {
        this.kind = kind;
    }

    /** Takes the revision that is in force from now on. */
    void add(long revision, String text) {
        kept.addLast(new RetainedText(revision, text));
        latestDelta = Optional.empty();
        while (kept.size() > 1 && (kept.size() > MAXIMUM_REVISIONS || characters() > MAXIMUM_CHARACTERS)) {
            kept.removeFirst();
        }
    }

    /** What a process with a known revision needs; empty if that is not lower than the one in force. */
    Optional<DocumentUpdate> since(long knownRevision) {
        if (kept.isEmpty() || kept.getLast().revision() <= knownRevision) {
            return Optional.empty();
        }
        return Optional.of(delta(knownRevision).orElseGet(this::whole));
    }

    // ------------------------------------------------------------------ internals

    private Optional<DocumentUpdate> delta(long knownRevision) {
        if (latestDelta.isPresent() && latestDelta.get().baseRevision() == knownRevision) {
            return latestDelta;
        }
        Optional<RetainedText> base =
                kept.stream().filter(old -> old.revision() == knownRevision).findFirst();
        if (base.isEmpty()) {
            return Optional.empty();
        }
        RetainedText last = kept.getLast();
        ByteString content = TextDelta.encode(base.get().text(), last.text());
        latestDelta = Optional.of(new DocumentUpdate(kind, last.revision(), knownRevision, content));
        return latestDelta;
    }

    private DocumentUpdate whole() {
        RetainedText last = kept.getLast();
        return new DocumentUpdate(kind, last.revision(), 0, ByteString.copyFromUtf8(last.text()));
    }

    private long characters() {
        return kept.stream().mapToLong(old -> old.text().length()).sum();
    }
}
