package org.merlinwood.configuration.document;

import io.vavr.control.Either;
import org.merlinwood.configuration.document.impl.SettingsDocument;
import org.merlinwood.configuration.settings.EntrySettings;
import org.merlinwood.configuration.settings.SidecarSettings;

/** Parses and validates the settings of a process. Error messages never contain a secret. Stateless and thread-safe. */
public final class SettingsReader {

    private SettingsReader() {}

    /**
     * Parses and validates the settings of an entry.
     *
     * @param documentName name used in error messages, such as the file name
     * @param text the whole document, JSON with comments
     * @return the settings, or all errors of the document
     */
    public static Either<DocumentErrors, EntrySettings> readEntry(String documentName, String text) {
        return SettingsDocument.readEntry(documentName, text);
    }

    /**
     * Parses and validates the settings of a sidecar.
     *
     * @param documentName name used in error messages, such as the file name
     * @param text the whole document, JSON with comments
     * @return the settings, or all errors of the document
     */
    public static Either<DocumentErrors, SidecarSettings> readSidecar(String documentName, String text) {
        return SettingsDocument.readSidecar(documentName, text);
    }
}
