package org.merlinwood.command.impl;

import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import org.merlinwood.configuration.document.EnumSpelling;

/** Compares two versions of a table row by row and words the differences. Stateless. */
final class RowChanges {

    private RowChanges() {}

    /** The changes of a table, a line each: rows that are new, gone, or have other columns. */
    static <T extends Record> List<String> ofTable(
            String rowWord, List<T> before, List<T> after, Function<T, String> name) {
        Map<String, T> oldRows = byName(before, name);
        Map<String, T> newRows = byName(after, name);
        List<String> lines = new ArrayList<>();
        oldRows.forEach((key, row) -> {
            if (!newRows.containsKey(key)) {
                lines.add(rowWord + " " + key + " is removed");
            }
        });
        newRows.forEach((key, row) -> lines.addAll(ofRow(rowWord + " " + key, oldRows.get(key), row)));
        return lines;
    }

    /** The changes of one row; a row that did not exist is new. */
    static <T extends Record> List<String> ofRow(String subject, T before, T after) {
        if (before == null) {
            return List.of(subject + " is new: " + columns(after));
        }
        List<String> lines = new ArrayList<>();
        for (RecordComponent component : after.getClass().getRecordComponents()) {
            Object oldValue = value(component, before);
            Object newValue = value(component, after);
            if (!Objects.equals(oldValue, newValue)) {
                lines.add(subject + ": " + component.getName() + " changes from " + word(oldValue) + " to "
                        + word(newValue));
            }
        }
        return lines;
    }

    // ------------------------------------------------------------------ internals

    private static <T> Map<String, T> byName(List<T> rows, Function<T, String> name) {
        Map<String, T> byName = new LinkedHashMap<>();
        rows.forEach(row -> byName.put(name.apply(row), row));
        return byName;
    }

    private static String columns(Record row) {
        List<String> columns = new ArrayList<>();
        for (RecordComponent component : row.getClass().getRecordComponents()) {
            columns.add(component.getName() + " " + word(value(component, row)));
        }
        return String.join(", ", columns);
    }

    private static Object value(RecordComponent component, Record row) {
        try {
            return component.getAccessor().invoke(row);
        } catch (ReflectiveOperationException exception) {
            throw new IllegalStateException("a public record can't hide " + component.getName(), exception);
        }
    }

    private static String word(Object value) {
        return value instanceof Enum<?> constant ? EnumSpelling.spell(constant) : value.toString();
    }
}
