package org.merlinwood.configuration.document;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

/** Converts enum constants to their spelling in documents: lower case, words joined by hyphens. Stateless. */
public final class EnumSpelling {

    private EnumSpelling() {}

    /**
     * Returns the spelling of a constant in a document.
     *
     * @param constant the enum constant
     * @return the spelling, such as {@code non-idempotent}
     */
    public static String spell(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the spellings of several constants as a list for a message.
     *
     * @param constants the enum constants
     * @return the spellings in double quotes, separated by commas
     */
    public static String list(Enum<?>[] constants) {
        return Arrays.stream(constants)
                .map(constant -> "\"" + spell(constant) + "\"")
                .collect(Collectors.joining(", "));
    }
}
