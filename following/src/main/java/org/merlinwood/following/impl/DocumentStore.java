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

/**
 * Holds the active inventory and rules, with recent revisions for deltas. Confined to the control thread, except
 * {@link #revisions()}.
 */
final class DocumentStore {

    /** Result of applying an update. */
    enum Applied {
        /** The update was accepted or rejected; nothing else is needed. */
        PROCESSED,
        /** The delta does not apply to the active text; the whole text is needed. */
        NEEDS_WHOLE_TEXT
    }

    private final DocumentHolder<Inventory> inventory;
    private final DocumentHolder<Rules> rules;
    private final Map<DocumentKind, DocumentHistory> histories = new EnumMap<>(DocumentKind.class);
    private final Map<Verdict, Counter> offerCounters = new EnumMap<>(Verdict.class);
    private final Counter deltaUpdates;
    private final Counter wholeUpdates;
    private final Runnable onAccepted;
    private volatile Revisions revisions = new Revisions(Revisions.NONE, Revisions.NONE);

    DocumentStore(MillisClock clock, MetricRegistry metrics, Runnable onAccepted) {
        this.inventory = new DocumentHolder<>(DocumentKind.INVENTORY, InventoryReader::read, clock);
        this.rules = new DocumentHolder<>(DocumentKind.RULES, RulesReader::read, clock);
        this.onAccepted = onAccepted;
        for (DocumentKind kind : DocumentKind.values()) {
            histories.put(kind, new DocumentHistory(kind));
        }
        for (Verdict result : Verdict.values()) {
            String name = "following.documents." + result.name().toLowerCase(Locale.ROOT);
            offerCounters.put(result, metrics.counter(name));
        }
        this.deltaUpdates = metrics.counter("following.updates.delta");
        this.wholeUpdates = metrics.counter("following.updates.whole");
        metrics.gauge("following.inventory.revision", () -> () -> revisions.inventory());
        metrics.gauge("following.rules.revision", () -> () -> revisions.rules());
    }

    // ------------------------------------------------------------------ public API

    /** Offers a whole text; on acceptance, records it and notifies the callback. */
    Verdict offer(DocumentKind kind, long revision, String text, String origin) {
        Verdict result = holder(kind).offer(revision, text, origin);
        offerCounters.get(result).inc();
        if (result == Verdict.ACCEPTED) {
            histories.get(kind).add(revision, text);
            revisions = new Revisions(inventory.revision(), rules.revision());
            onAccepted.run();
        }
        return result;
    }

    /** Applies an update that a peer sent. */
    Applied apply(DocumentUpdate update, String origin) {
        (update.isWhole() ? wholeUpdates : deltaUpdates).inc();
        if (update.revision() < holder(update.kind()).revision()) {
            offerCounters.get(Verdict.STALE).inc();
            return Applied.PROCESSED;
        }
        if (update.isWhole()) {
            offer(update.kind(), update.revision(), update.content().toStringUtf8(), origin);
            return Applied.PROCESSED;
        }
        if (update.revision() == holder(update.kind()).revision()) {
            offerCounters.get(Verdict.KNOWN).inc();
            return Applied.PROCESSED;
        }
        return applyDelta(update, origin);
    }

    /** Returns the updates for a process that has the given revisions; empty if it is up to date. */
    List<DocumentUpdate> since(Revisions known) {
        List<DocumentUpdate> updates = new ArrayList<>();
        histories.get(DocumentKind.INVENTORY).since(known.inventory()).ifPresent(updates::add);
        histories.get(DocumentKind.RULES).since(known.rules()).ifPresent(updates::add);
        return updates;
    }

    /** Returns the active revisions. Thread-safe. */
    Revisions revisions() {
        return revisions;
    }

    long seenRevision(DocumentKind kind) {
        return holder(kind).seenRevision();
    }

    Optional<Inventory> inventory() {
        return inventory.current().map(DocumentHolder.ActiveDocument::value);
    }

    /** Returns both active documents; empty until each has one. */
    Optional<ActiveConfiguration> current() {
        return inventory
                .current()
                .flatMap(activeInventory -> rules.current()
                        .map(activeRules -> new ActiveConfiguration(activeInventory.value(), activeRules.value())));
    }

    FollowerState.Document state(DocumentKind kind) {
        return holder(kind).state();
    }

    // ------------------------------------------------------------------ internals

    private Applied applyDelta(DocumentUpdate update, String origin) {
        DocumentHolder<?> holder = holder(update.kind());
        if (holder.current().isEmpty() || holder.revision() != update.baseRevision()) {
            return Applied.NEEDS_WHOLE_TEXT;
        }
        Either<Failure, String> text =
                TextDelta.apply(holder.current().orElseThrow().text(), update.content());
        if (text.isLeft()) {
            return Applied.NEEDS_WHOLE_TEXT;
        }
        offer(update.kind(), update.revision(), text.get(), origin);
        return Applied.PROCESSED;
    }

    private DocumentHolder<?> holder(DocumentKind kind) {
        return switch (kind) {
            case INVENTORY -> inventory;
            case RULES -> rules;
        };
    }
}
