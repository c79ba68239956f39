package org.merlinwood.configuration.document.impl;

import java.util.HashSet;
import java.util.Set;

/** Reports values that occur more than once in one column. Not thread-safe; used for one table. */
final class UniqueColumn {

    private final String column;
    private final Set<String> seen = new HashSet<>();

    UniqueColumn(String column) {
        this.column = column;
    }

    /** Returns true if no earlier row has this value; reports an error otherwise. */
    boolean checkUnique(RowReader row, String value, String remedy) {
        if (value.equals(RowReader.PLACEHOLDER) || seen.add(value)) {
            return true;
        }
        row.reportError(column, "'" + value + "' stands in an earlier row", remedy);
        return false;
    }
}
