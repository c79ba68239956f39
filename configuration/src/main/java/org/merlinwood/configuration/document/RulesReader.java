package org.merlinwood.configuration.document;

import io.vavr.control.Either;
import org.merlinwood.configuration.document.impl.RulesDocument;
import org.merlinwood.configuration.rules.Rules;

/**
 * Parses and validates rules documents. The result depends only on the text, so that every process accepts or rejects
 * the same documents. Stateless and thread-safe.
 */
public final class RulesReader {

    private RulesReader() {}

    /**
     * Parses and validates a document.
     *
     * @param documentName name used in error messages, such as the file name
     * @param revision revision assigned by the configuration service, positive
     * @param text the whole document, JSON with comments
     * @return the rules, or all errors of the document
     */
    public static Either<DocumentErrors, Rules> read(String documentName, long revision, String text) {
        return RulesDocument.read(documentName, revision, text);
    }
}
