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
 * Holds one document and moves only to a higher valid revision. Used by the control thread alone.
 *
 * @param <T> type of the parsed document
 */
final class DocumentHolder<T> {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAXIMUM_REPORTED_ERRORS = 50;

    /** Judges a text. */
    interface Parser<T> {
        Either<DocumentErrors, T> parse(String documentName, long revision, String text);
    }

    /** The document in force. */
    record Held<T>(long revision, String text, String digest, T value, String origin, long sinceMillis) {}

    private record Rejection(long revision, String digest, List<String> reasons) {}

    private final DocumentKind kind;
    private final Parser<T> parser;
    private final MillisClock clock;
    private Optional<Held<T>> current = Optional.empty();
    private Optional<Rejection> rejection = Optional.empty();

    DocumentHolder(DocumentKind kind, Parser<T> parser, MillisClock clock) {
        this.kind = kind;
        this.parser = parser;
        this.clock = clock;
    }

    // ------------------------------------------------------------------ public API

    /** Judges a document that the service or a peer gave. */
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
        return judge(revision, text, digest, origin);
    }

    Optional<Held<T>> current() {
        return current;
    }

    /** The revision in force, {@link Revisions#NONE} before the first. */
    long revision() {
        return current.map(Held::revision).orElse(Revisions.NONE);
    }

    /** The highest revision that needs no second look. */
    long seenRevision() {
        return Math.max(revision(), rejection.map(Rejection::revision).orElse(Revisions.NONE));
    }

    FollowerState.Document state() {
        long now = clock.monotonicMillis();
        return new FollowerState.Document(
                revision(),
                current.map(Held::digest).orElse(""),
                current.map(Held::origin).orElse(""),
                current.map(document -> now - document.sinceMillis()).orElse(0L),
                rejection.map(Rejection::revision).orElse(Revisions.NONE),
                rejection.map(Rejection::reasons).orElse(List.of()));
    }

    // ------------------------------------------------------------------ internals

    private Verdict sameRevision(String digest, String origin) {
        if (current.orElseThrow().digest().equals(digest)) {
            return Verdict.KNOWN;
        }
        logger.atSevere().log(
                "%s revision %d from %s has another content than the one in force; it is rejected",
                kind.documentName(), revision(), origin);
        return Verdict.CONFLICTING;
    }

    private Verdict judge(long revision, String text, String digest, String origin) {
        Either<DocumentErrors, T> parsed = parser.parse(kind.documentName(), revision, text);
        if (parsed.isLeft()) {
            reject(revision, digest, parsed.getLeft(), origin);
            return Verdict.INVALID;
        }
        current = Optional.of(new Held<>(revision, text, digest, parsed.get(), origin, clock.monotonicMillis()));
        rejection = rejection.filter(rejected -> rejected.revision() > revision);
        logger.atInfo().log("%s revision %d from %s is in force", kind.documentName(), revision, origin);
        return Verdict.ACCEPTED;
    }

    private void reject(long revision, String digest, DocumentErrors errors, String origin) {
        List<String> reasons = errors.errors().stream()
                .limit(MAXIMUM_REPORTED_ERRORS)
                .map(DocumentError::toString)
                .toList();
        rejection = Optional.of(new Rejection(revision, digest, reasons));
        logger.atSevere().log(
                "%s revision %d from %s is rejected, revision %d stays in force: %s",
                kind.documentName(), revision, origin, revision(), String.join(" | ", reasons));
    }
}
