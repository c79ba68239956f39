package org.merlinwood.following.impl;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.merlinwood.configuration.document.InventoryReader;
import org.merlinwood.configuration.document.RulesReader;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.rules.Rules;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.following.ActiveConfiguration;
import org.merlinwood.following.FollowerState;

/** Both documents with their latest revisions. Used by the control thread alone, but for {@link #revisions()}. */
final class DocumentStore {

    /** What became of an update. */
    enum Applied {
        /** It was judged. */
        JUDGED,
        /** Its base is not here, so the whole text is needed. */
        NEEDS_WHOLE
    }

    private final DocumentHolder<Inventory> inventory;
    private final DocumentHolder<Rules> rules;
    private final Map<DocumentKind, DocumentHistory> histories = new EnumMap<>(DocumentKind.class);
    private final Map<Verdict, Counter> verdicts = new EnumMap<>(Verdict.class);
    private final Counter deltas;
    private final Counter wholes;
    private final Runnable onAccepted;
    private volatile Revisions revisions = new Revisions(Revisions.NONE, Revisions.NONE);

    DocumentStore(MillisClock clock, MetricRegistry metrics, Runnable onAccepted) {
        this.inventory = new DocumentHolder<>(DocumentKind.INVENTORY, InventoryReader::read, clock);
        this.rules = new DocumentHolder<>(DocumentKind.RULES, RulesReader::read, clock);
        this.onAccepted = onAccepted;
        for (DocumentKind kind : DocumentKind.values()) {
            histories.put(kind, new DocumentHistory(kind));
        }
        for (Verdict verdict : Verdict.values()) {
            String name = "following.documents." + verdict.name().toLowerCase(Locale.ROOT);
            verdicts.put(verdict, metrics.counter(name));
        }
        this.deltas = metrics.counter("following.updates.delta");
        this.wholes = metrics.counter("following.updates.whole");
        metrics.gauge("following.inventory.revision", () -> () -> revisions.inventory());
        metrics.gauge("following.rules.revision", () -> () -> revisions.rules());
    }

    // ------------------------------------------------------------------ public API

    /** Judges a whole text. */
    Verdict offer(DocumentKind kind, long revision, String text, String origin) {
        Verdict verdict = holder(kind).offer(revision, text, origin);
        verdicts.get(verdict).inc();
        if (verdict == Verdict.ACCEPTED) {
            histories.get(kind).add(revision, text);
            revisions = new Revisions(inventory.revision(), rules.revision());
            onAccepted.run();
        }
        return verdict;
    }

    /** Judges what a peer sent. */
    Applied apply(DocumentUpdate update, String origin) {
        (update.isWhole() ? wholes : deltas).inc();
        if (update.revision() < holder(update.kind()).revision()) {
            verdicts.get(Verdict.STALE).inc();
            return Applied.JUDGED;
        }
        if (update.isWhole()) {
            offer(update.kind(), update.revision(), update.content().toStringUtf8(), origin);
            return Applied.JUDGED;
        }
        if (update.revision() == holder(update.kind()).revision()) {
            verdicts.get(Verdict.KNOWN).inc();
            return Applied.JUDGED;
        }
        return applyDelta(update, origin);
    }

    /** What a process with known revisions needs. */
    List<DocumentUpdate> since(Revisions known) {
        List<DocumentUpdate> updates = new ArrayList<>();
        histories.get(DocumentKind.INVENTORY).since(known.inventory()).ifPresent(updates::add);
        histories.get(DocumentKind.RULES).since(known.rules()).ifPresent(updates::add);
        return updates;
    }

    /** The revisions in force. Thread-safe. */
    Revisions revisions() {
        return revisions;
    }

    long seenRevision(DocumentKind kind) {
        return holder(kind).seenRevision();
    }

    Optional<Inventory> inventory() {
        return inventory.current().map(DocumentHolder.Held::value);
    }

    /** Both documents, empty before both were seen. */
    Optional<ActiveConfiguration> current() {
        return inventory
                .current()
                .flatMap(
                        first -> rules.current().map(second -> new ActiveConfiguration(first.value(), second.value())));
    }

    FollowerState.Document state(DocumentKind kind) {
        return holder(kind).state();
    }

    // ------------------------------------------------------------------ internals

    private Applied applyDelta(DocumentUpdate update, String origin) {
        DocumentHolder<?> holder = holder(update.kind());
        if (holder.current().isEmpty() || holder.revision() != update.baseRevision()) {
            return Applied.NEEDS_WHOLE;
        }
        Either<Failure, String> text =
                TextDelta.apply(holder.current().orElseThrow().text(), update.content());
        if (text.isLeft()) {
            return Applied.NEEDS_WHOLE;
        }
        offer(update.kind(), update.revision(), text.get(), origin);
        return Applied.JUDGED;
    }

    private DocumentHolder<?> holder(DocumentKind kind) {
        return switch (kind) {
            case INVENTORY -> inventory;
            case RULES -> rules;
        };
    }
}
