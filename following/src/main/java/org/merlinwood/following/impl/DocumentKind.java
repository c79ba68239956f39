package org.merlinwood.following.impl;

import java.util.Locale;

/** The two documents. */
enum DocumentKind {
    INVENTORY,
    RULES;

    /** Name in paths, metrics and messages. */
    String documentName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
