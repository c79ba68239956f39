package org.merlinwood.following.impl;

import java.util.Locale;

/** The kinds of configuration documents. */
enum DocumentKind {
    INVENTORY,
    RULES;

    /** Returns the name used in paths, metrics and messages. */
    String documentName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
