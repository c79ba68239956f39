package org.merlinwood.command.impl;

import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Pattern;
import org.merlinwood.configuration.document.EnumSpelling;

/** Kind of a file that operators edit. */
public enum FileKind {
    /** The inventory. */
    INVENTORY("instances"),
    /** The rules. */
    RULES("services"),
    /** Settings of a gateway entry for the users' platform. */
    GATEWAY_SETTINGS("storeAddress"),
    /** Settings of an entry. */
    ENTRY_SETTINGS("callerAddress"),
    /** Settings of a sidecar. */
    SIDECAR_SETTINGS("upstreamAddress");

    private final Pattern columnPattern;

    FileKind(String column) {
        this.columnPattern = Pattern.compile("\"" + column + "\"\\s*:");
    }

    /**
     * Detects the kind of a file by a column that only this kind has. The first match in the sequence of the constants
     * applies.
     *
     * @param text text of the file
     * @return the kind, or empty if the text contains none of these columns
     */
    public static Optional<FileKind> detect(String text) {
        return Arrays.stream(values())
                .filter(kind -> kind.columnPattern.matcher(text).find())
                .findFirst();
    }

    @Override
    public String toString() {
        return EnumSpelling.spell(this);
    }
}
