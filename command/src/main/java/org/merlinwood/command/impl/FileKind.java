package org.merlinwood.command.impl;

import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Pattern;
import org.merlinwood.configuration.document.EnumSpelling;

/** Kinds of files that operators write. */
public enum FileKind {
    /** The inventory. */
    INVENTORY("instances"),
    /** The rules. */
    RULES("services"),
    /** Settings of a gateway entry of the users' platform. */
    GATEWAY_SETTINGS("storeAddress"),
    /** Settings of an entry. */
    ENTRY_SETTINGS("callerAddress"),
    /** Settings of a sidecar. */
    SIDECAR_SETTINGS("upstreamAddress");

    private final Pattern mark;

    FileKind(String column) {
        this.mark = Pattern.compile("\"" + column + "\"\\s*:");
    }

    /**
     * Guesses the kind by the first column that only one kind has.
     *
     * @param text the file's text
     * @return the kind, or empty if no column gives it away
     */
    public static Optional<FileKind> guess(String text) {
        return Arrays.stream(values())
                .filter(kind -> kind.mark.matcher(text).find())
                .findFirst();
    }

    @Override
    public String toString() {
        return EnumSpelling.spell(this);
    }
}
