package org.merlinwood.command.impl;

import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import org.merlinwood.configuration.document.EnumSpelling;

/** Describes the differences between two versions of a table, row by row. Stateless. */
final class RowChanges {

    private RowChanges() {}

    /** Returns one line for each removed row, added row and changed column of a table. */
    static <T extends Record> List<String> ofTable(
            String rowKind, List<T> before, List<T> after, Function<T, String> name) {
        Map<String, T> oldRows = rowsByName(before, name);
        Map<String, T> newRows = rowsByName(after, name);
        List<String> lines = new ArrayList<>();
        oldRows.forEach((key, row) -> {
            if (!newRows.containsKey(key)) {
                lines.add(rowKind + " " + key + " is removed");
            }
        });
        newRows.forEach((key, row) -> lines.addAll(ofRow(rowKind + " " + key, oldRows.get(key), row)));
        return lines;
    }

    /** Returns one line for each changed column of a row; a row without a previous version is new. */
    static <T extends Record> List<String> ofRow(String subject, T before, T after) {
        if (before == null) {
            return List.of(subject + " is new: " + columns(after));
        }
        List<String> lines = new ArrayList<>();
        for (RecordComponent component : after.getClass().getRecordComponents()) {
            Object oldValue = value(component, before);
            Object newValue = value(component, after);
            if (!Objects.equals(oldValue, newValue)) {
                lines.add(subject + ": " + component.getName() + " changes from " + format(oldValue) + " to "
                        + format(newValue));
            }
        }
        return lines;
    }

    private static <T> Map<String, T> rowsByName(List<T> rows, Function<T, String> name) {
        Map<String, T> rowsByName = new LinkedHashMap<>();
        rows.forEach(row -> rowsByName.put(name.apply(row), row));
        return rowsByName;
    }

    private static String columns(Record row) {
        List<String> columns = new ArrayList<>();
        for (RecordComponent component : row.getClass().getRecordComponents()) {
            columns.add(component.getName() + " " + format(value(component, row)));
        }
        return String.join(", ", columns);
    }

    private static Object value(RecordComponent component, Record row) {
        try {
            return component.getAccessor().invoke(row);
        } catch (ReflectiveOperationException exception) {
            throw new IllegalStateException("the record component can't be read: " + component.getName(), exception);
        }
    }

    private static String format(Object value) {
        return value instanceof Enum<?> constant ? EnumSpelling.spell(constant) : value.toString();
    }
}
