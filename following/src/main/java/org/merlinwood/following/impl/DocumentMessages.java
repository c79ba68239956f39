package org.merlinwood.following.impl;

import java.util.ArrayList;
import java.util.List;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.wire.DocumentState;
import org.merlinwood.wire.Documents;

/** Converts document updates to and from protocol messages. Stateless. */
final class DocumentMessages {

    private DocumentMessages() {}

    static Documents toWire(List<DocumentUpdate> updates) {
        Documents.Builder documents = Documents.newBuilder();
        for (DocumentUpdate update : updates) {
            DocumentState state = DocumentState.newBuilder()
                    .setRevision(update.revision())
                    .setBaseRevision(update.baseRevision())
                    .setContent(update.content())
                    .build();
            switch (update.kind()) {
                case INVENTORY -> documents.setInventory(state);
                case RULES -> documents.setRules(state);
            }
        }
        return documents.build();
    }

    static List<DocumentUpdate> fromWire(Documents documents) {
        List<DocumentUpdate> updates = new ArrayList<>();
        if (documents.hasInventory()) {
            updates.add(update(DocumentKind.INVENTORY, documents.getInventory()));
        }
        if (documents.hasRules()) {
            updates.add(update(DocumentKind.RULES, documents.getRules()));
        }
        updates.removeIf(update -> update.revision() <= Revisions.NONE);
        return updates;
    }

    private static DocumentUpdate update(DocumentKind kind, DocumentState state) {
        return new DocumentUpdate(kind, state.getRevision(), state.getBaseRevision(), state.getContent());
    }
}
