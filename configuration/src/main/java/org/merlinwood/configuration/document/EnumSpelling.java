package org.merlinwood.configuration.document;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

/** Spelling of enumerated values in documents: lower case, with hyphens. Stateless. */
public final class EnumSpelling {

    private EnumSpelling() {}

    /**
     * Returns how a value is written in a document.
     *
     * @param constant the value
     * @return such as {@code non-idempotent}
     */
    public static String spell(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns how all values of a type are written.
     *
     * @param constants the values
     * @return the words in quotes, with commas
     */
    public static String list(Enum<?>[] constants) {
        return Arrays.stream(constants)
                .map(constant -> "\"" + spell(constant) + "\"")
                .collect(Collectors.joining(", "));
    }
}
