package org.merlinwood.configuration.document;

import io.vavr.control.Either;
import org.merlinwood.configuration.document.impl.SettingsDocument;
import org.merlinwood.configuration.settings.EntrySettings;
import org.merlinwood.configuration.settings.SidecarSettings;

/** Reads and judges the settings of a process. Stateless, thread-safe. Messages never contain a secret. */
public final class SettingsReader {

    private SettingsReader() {}

    /**
     * Reads the settings of an entry.
     *
     * @param documentName name for messages, such as the file
     * @param text the whole document, JSON with comments
     * @return the settings, or everything that is wrong with them
     */
    public static Either<DocumentErrors, EntrySettings> readEntry(String documentName, String text) {
        return SettingsDocument.readEntry(documentName, text);
    }

    /**
     * Reads the settings of a sidecar.
     *
     * @param documentName name for messages, such as the file
     * @param text the whole document, JSON with comments
     * @return the settings, or everything that is wrong with them
     */
    public static Either<DocumentErrors, SidecarSettings> readSidecar(String documentName, String text) {
        return SettingsDocument.readSidecar(documentName, text);
    }
}
