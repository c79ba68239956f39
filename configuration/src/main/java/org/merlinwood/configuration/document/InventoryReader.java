package org.merlinwood.configuration.document;

import io.vavr.control.Either;
import org.merlinwood.configuration.document.impl.InventoryDocument;
import org.merlinwood.configuration.inventory.Inventory;

/** Reads and judges inventory documents. Stateless, thread-safe; the verdict depends on the text alone. */
public final class InventoryReader {

    private InventoryReader() {}

    /**
     * Reads a document.
     *
     * @param documentName name for messages, such as the file
     * @param revision the revision given by the configuration service, positive
     * @param text the whole document, JSON with comments
     * @return the inventory, or everything that is wrong with the document
     */
    public static Either<DocumentErrors, Inventory> read(String documentName, long revision, String text) {
        return InventoryDocument.read(documentName, revision, text);
    }
}
