package org.merlinwood.configuration.document;

import io.vavr.control.Either;
import org.merlinwood.configuration.document.impl.InventoryDocument;
import org.merlinwood.configuration.inventory.Inventory;

/**
 * Parses and validates inventory documents. The result depends only on the text, so that every process accepts or
 * rejects the same documents. Stateless and thread-safe.
 */
public final class InventoryReader {

    private InventoryReader() {}

    /**
     * Parses and validates a document.
     *
     * @param documentName name used in error messages, such as the file name
     * @param revision revision assigned by the configuration service, positive
     * @param text the whole document, JSON with comments
     * @return the inventory, or all errors of the document
     */
    public static Either<DocumentErrors, Inventory> read(String documentName, long revision, String text) {
        return InventoryDocument.read(documentName, revision, text);
    }
}
