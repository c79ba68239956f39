package org.merlinwood.following.impl;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.apache.commons.codec.digest.DigestUtils;
import org.merlinwood.configuration.document.DocumentError;
import org.merlinwood.configuration.document.DocumentErrors;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.following.FollowerState;

/**
 * Holds the active revision of one document and replaces it only by a higher valid one. Confined to the control thread.
 *
 * @param <T> type of the parsed document
 */
final class DocumentHolder<T> {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAXIMUM_REPORTED_ERRORS = 50;

    /** Parses and validates a text. */
    interface Parser<T> {
        Either<DocumentErrors, T> parse(String documentName, long revision, String text);
    }

    /** The active document. */
    record ActiveDocument<T>(long revision, String text, String digest, T value, String origin, long sinceMillis) {}

    private record Rejection(long revision, String digest, List<String> reasons) {}

    private final DocumentKind kind;
    private final Parser<T> parser;
    private final MillisClock clock;
    private Optional<ActiveDocument<T>> current = Optional.empty();
    private Optional<Rejection> rejection = Optional.empty();

    DocumentHolder(DocumentKind kind, Parser<T> parser, MillisClock clock) {
        this.kind = kind;
        this.parser = parser;
        this.clock = clock;
    }

    /** Activates a document from the service or a peer if its revision is higher and its text is valid. */
    Verdict offer(long revision, String text, String origin) {
        if (revision < revision()) {
            return Verdict.STALE;
        }
        String digest = DigestUtils.sha256Hex(text);
        if (current.isPresent() && revision == revision()) {
            return sameRevision(digest, origin);
        }
        if (rejection.isPresent()
                && rejection.get().revision() == revision
                && rejection.get().digest().equals(digest)) {
            return Verdict.INVALID;
        }
        return evaluate(revision, text, digest, origin);
    }

    Optional<ActiveDocument<T>> current() {
        return current;
    }

    /** Returns the active revision, {@link Revisions#NONE} before the first. */
    long revision() {
        return current.map(ActiveDocument::revision).orElse(Revisions.NONE);
    }

    /**
     * Returns the highest revision that was accepted or rejected, so that the service is asked for higher ones only.
     */
    long seenRevision() {
        return Math.max(revision(), rejection.map(Rejection::revision).orElse(Revisions.NONE));
    }

    FollowerState.Document state() {
        long now = clock.monotonicMillis();
        return new FollowerState.Document(
                revision(),
                current.map(ActiveDocument::digest).orElse(""),
                current.map(ActiveDocument::origin).orElse(""),
                current.map(document -> now - document.sinceMillis()).orElse(0L),
                rejection.map(Rejection::revision).orElse(Revisions.NONE),
                rejection.map(Rejection::reasons).orElse(List.of()));
    }

    private Verdict sameRevision(String digest, String origin) {
        if (current.orElseThrow().digest().equals(digest)) {
            return Verdict.KNOWN;
        }
        logger.atSevere().log(
                "rejected %s revision %d from %s: its content differs from the active one of the same revision",
                kind.documentName(), revision(), origin);
        return Verdict.CONFLICTING;
    }

    private Verdict evaluate(long revision, String text, String digest, String origin) {
        Either<DocumentErrors, T> parsed = parser.parse(kind.documentName(), revision, text);
        if (parsed.isLeft()) {
            reject(revision, digest, parsed.getLeft(), origin);
            return Verdict.INVALID;
        }
        current = Optional.of(
                new ActiveDocument<>(revision, text, digest, parsed.get(), origin, clock.monotonicMillis()));
        rejection = rejection.filter(rejected -> rejected.revision() > revision);
        logger.atInfo().log("activated %s revision %d from %s", kind.documentName(), revision, origin);
        return Verdict.ACCEPTED;
    }

    private void reject(long revision, String digest, DocumentErrors errors, String origin) {
        List<String> reasons = errors.errors().stream()
                .limit(MAXIMUM_REPORTED_ERRORS)
                .map(DocumentError::toString)
                .toList();
        rejection = Optional.of(new Rejection(revision, digest, reasons));
        logger.atSevere().log(
                "rejected %s revision %d from %s; revision %d stays active: %s",
                kind.documentName(), revision, origin, revision(), String.join(" | ", reasons));
    }
}
