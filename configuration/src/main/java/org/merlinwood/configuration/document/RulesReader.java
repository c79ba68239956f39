package org.merlinwood.configuration.document;

import io.vavr.control.Either;
import org.merlinwood.configuration.document.impl.RulesDocument;
import org.merlinwood.configuration.rules.Rules;

/** Reads and judges rules documents. Stateless, thread-safe; the verdict depends on the text alone. */
public final class RulesReader {

    private RulesReader() {}

    /**
     * Reads a document.
     *
     * @param documentName name for messages, such as the file
     * @param revision the revision given by the configuration service, positive
     * @param text the whole document, JSON with comments
     * @return the rules, or everything that is wrong with the document
     */
    public static Either<DocumentErrors, Rules> read(String documentName, long revision, String text) {
        return RulesDocument.read(documentName, revision, text);
    }
}
