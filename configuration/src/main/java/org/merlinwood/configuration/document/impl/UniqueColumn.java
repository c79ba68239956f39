package org.merlinwood.configuration.document.impl;

import java.util.HashSet;
import java.util.Set;

/** Refuses a value that stands in one column twice. Used by one thread for one reading. */
final class UniqueColumn {

    private final String column;
    private final Set<String> seen = new HashSet<>();

    UniqueColumn(String column) {
        this.column = column;
    }

    /** Takes the value of a row; true if no earlier row has it. */
    boolean take(RowReader row, String value, String remedy) {
        if (value.equals(RowReader.PLACEHOLDER) || seen.add(value)) {
            return true;
        }
        row.refuse(column, "'" + value + "' stands in an earlier row", remedy);
        return false;
    }
}
