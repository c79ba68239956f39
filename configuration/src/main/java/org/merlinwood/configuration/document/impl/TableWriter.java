package org.merlinwood.configuration.document.impl;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Writes tables as JSON, one row per line. Not thread-safe; used for one document. */
public final class TableWriter {

    private final List<String> members = new ArrayList<>();

    /** Creates the writer of a document without tables. */
    public TableWriter() {}

    /**
     * Creates an empty row.
     *
     * @return a new row without columns
     */
    public static ObjectNode row() {
        return JsonNodeFactory.instance.objectNode();
    }

    /**
     * Adds a table.
     *
     * @param <T> type of the rows
     * @param name name of the table
     * @param rows the rows
     * @param toRow converts a row to its columns
     * @return this writer
     */
    public <T> TableWriter table(String name, Collection<T> rows, Function<T, ObjectNode> toRow) {
        String lines = rows.stream()
                .map(row -> "    " + toRow.apply(row))
                .collect(Collectors.joining(",\n", "[\n", rows.isEmpty() ? "  ]" : "\n  ]"));
        members.add("  \"" + name + "\": " + lines);
        return this;
    }

    /**
     * Adds a single object.
     *
     * @param name name of the object
     * @param value the object
     * @return this writer
     */
    public TableWriter object(String name, ObjectNode value) {
        members.add("  \"" + name + "\": " + value);
        return this;
    }

    /**
     * Returns the complete document.
     *
     * @return the text, ending with a line break
     */
    public String text() {
        return String.join(",\n", members).transform(body -> "{\n" + body + "\n}\n");
    }
}
