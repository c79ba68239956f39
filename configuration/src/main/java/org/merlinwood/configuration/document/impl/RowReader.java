package org.merlinwood.configuration.document.impl;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.merlinwood.configuration.document.EnumSpelling;

/**
 * Reads the columns of one row and reports their errors. An invalid column yields a placeholder, so that the rest of
 * the row is still checked. Not thread-safe; used for one document.
 */
final class RowReader {

    /** Replaces a text that is missing or invalid. */
    static final String PLACEHOLDER = "?";

    private static final int MILLIS_PER_SECOND = 1_000;

    private final ErrorCollector errors;
    private final String path;
    private final LocatedValue.ObjectValue row;
    private final Set<String> requestedColumns = new LinkedHashSet<>();
    private boolean valid = true;

    RowReader(ErrorCollector errors, String path, LocatedValue.ObjectValue row) {
        this.errors = errors;
        this.path = path;
        this.row = row;
    }

    // ------------------------------------------------------------------ state

    /** Returns true if no error has been reported for this row so far. */
    boolean isValid() {
        return valid;
    }

    boolean has(String column) {
        return row.fields().containsKey(column);
    }

    /** Reports an error at the value of a column, or at the row if the column is absent. */
    void reportError(String column, String problem, String remedy) {
        LocatedValue.Field field = row.fields().get(column);
        LocatedValue.Position position =
                field == null ? row.position() : field.value().position();
        addError(position, pathOf(column), problem, remedy);
    }

    /** Reports an error for every column that was not read. Called after all columns have been read. */
    void reportUnknownColumns() {
        row.fields().forEach((name, field) -> {
            if (!requestedColumns.contains(name)) {
                addError(field.position(), pathOf(name), "there is no such column", unknownColumnRemedy(name));
            }
        });
    }

    // ------------------------------------------------------------------ columns

    String text(String column) {
        return value(column).map(value -> textOf(column, value)).orElseGet(() -> missing(column, PLACEHOLDER));
    }

    String text(String column, String defaultValue) {
        return value(column).map(value -> textOf(column, value)).orElse(defaultValue);
    }

    /**
     * Reads a text and parses it. If {@code parse} throws an IllegalArgumentException, its message is reported as the
     * problem.
     */
    <T> T parsed(String column, Function<String, T> parse, T placeholder, String remedy) {
        boolean validBefore = valid;
        valid = true;
        String text = text(column);
        boolean textIsValid = valid;
        valid = validBefore && textIsValid;
        return textIsValid ? parsedOf(column, text, parse, placeholder, remedy) : placeholder;
    }

    <T> Optional<T> optionalParsed(String column, Function<String, T> parse, T placeholder, String remedy) {
        requestedColumns.add(column);
        return has(column) ? Optional.of(parsed(column, parse, placeholder, remedy)) : Optional.empty();
    }

    long wholeNumber(String column, long minimum, long maximum) {
        return value(column)
                .map(value -> wholeNumberOf(column, value, minimum, maximum))
                .orElseGet(() -> missing(column, minimum));
    }

    long wholeNumber(String column, long minimum, long maximum, long defaultValue) {
        return value(column)
                .map(value -> wholeNumberOf(column, value, minimum, maximum))
                .orElse(defaultValue);
    }

    double decimal(String column, double minimum, double defaultValue) {
        return value(column).map(value -> decimalOf(column, value, minimum)).orElse(defaultValue);
    }

    /** Reads a duration from the column {@code nameMillis} or {@code nameSeconds}. */
    Optional<Long> durationMillis(String name, long minimumMillis, long maximumMillis) {
        String millisColumn = name + "Millis";
        String secondsColumn = name + "Seconds";
        Optional<LocatedValue> inMillis = value(millisColumn);
        Optional<LocatedValue> inSeconds = value(secondsColumn);
        if (inMillis.isPresent() && inSeconds.isPresent()) {
            reportError(
                    secondsColumn,
                    "the duration is given twice",
                    "keep either " + millisColumn + " or " + secondsColumn);
        }
        if (inMillis.isPresent()) {
            return inMillis.map(value -> wholeNumberOf(millisColumn, value, minimumMillis, maximumMillis));
        }
        long minimumSeconds = (minimumMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
        return inSeconds.map(value -> MILLIS_PER_SECOND
                * wholeNumberOf(secondsColumn, value, minimumSeconds, maximumMillis / MILLIS_PER_SECOND));
    }

    long requiredDurationMillis(String name, long minimumMillis, long maximumMillis) {
        return durationMillis(name, minimumMillis, maximumMillis)
                .orElseGet(() -> missing(name + "Millis", minimumMillis));
    }

    <E extends Enum<E>> E enumValue(String column, Class<E> type) {
        return value(column)
                .map(value -> enumValueOf(column, value, type))
                .orElseGet(() -> missing(column, type.getEnumConstants()[0]));
    }

    <E extends Enum<E>> E enumValue(String column, Class<E> type, E defaultValue) {
        return value(column).map(value -> enumValueOf(column, value, type)).orElse(defaultValue);
    }

    /** Reads a list of unique texts; empty if the column is absent. */
    List<String> texts(String column) {
        List<String> texts = new ArrayList<>();
        for (LocatedValue element : elements(column)) {
            String text = textOf(column, element);
            if (texts.contains(text)) {
                addError(element.position(), pathOf(column), "'" + text + "' stands there twice", "list it once");
            }
            texts.add(text);
        }
        return texts;
    }

    /** Reads a list of unique texts and parses each of them. */
    <T> List<T> parsedList(String column, Function<String, T> parse, T placeholder, String remedy) {
        return texts(column).stream()
                .map(text -> parsedOf(column, text, parse, placeholder, remedy))
                .toList();
    }

    /** Returns the rows of a table; empty if the table is absent. */
    List<RowReader> rows(String column) {
        List<RowReader> rows = new ArrayList<>();
        List<LocatedValue> elements = elements(column);
        for (int index = 0; index < elements.size(); index++) {
            String rowPath = pathOf(column) + "[" + index + "]";
            if (elements.get(index) instanceof LocatedValue.ObjectValue object) {
                rows.add(new RowReader(errors, rowPath, object));
            } else {
                addError(
                        elements.get(index).position(),
                        rowPath,
                        "a row is " + elements.get(index).kind(),
                        "write the row as an object in braces");
            }
        }
        return rows;
    }

    /** Returns the rows of a table that must have at least one row. */
    List<RowReader> requiredRows(String column) {
        int errorsBefore = errors.count();
        List<RowReader> rows = rows(column);
        if (rows.isEmpty() && errors.count() == errorsBefore) {
            reportError(column, "the table has no row", "list at least one row in \"" + column + "\"");
        }
        return rows;
    }

    /** Returns a reader of a nested object; it has no columns if the object is absent. */
    RowReader nested(String column) {
        Optional<LocatedValue> value = value(column);
        if (value.isPresent() && value.get() instanceof LocatedValue.ObjectValue object) {
            return new RowReader(errors, pathOf(column), object);
        }
        value.ifPresent(other -> reportError(column, "it is " + other.kind(), "write an object in braces"));
        return new RowReader(errors, pathOf(column), new LocatedValue.ObjectValue(row.position(), Map.of()));
    }

    // ------------------------------------------------------------------ internals

    private Optional<LocatedValue> value(String column) {
        requestedColumns.add(column);
        return Optional.ofNullable(row.fields().get(column)).map(LocatedValue.Field::value);
    }

    private List<LocatedValue> elements(String column) {
        Optional<LocatedValue> value = value(column);
        if (value.isPresent() && value.get() instanceof LocatedValue.ListValue list) {
            return list.elements();
        }
        value.ifPresent(other -> reportError(column, "it is " + other.kind(), "write a list in brackets"));
        return List.of();
    }

    private String textOf(String column, LocatedValue value) {
        if (value instanceof LocatedValue.TextValue text && !text.text().isBlank()) {
            return text.text();
        }
        String problem = value instanceof LocatedValue.TextValue ? "the text is empty" : "it is " + value.kind();
        addError(value.position(), pathOf(column), problem, "write a text in quotes");
        return PLACEHOLDER;
    }

    private <T> T parsedOf(String column, String text, Function<String, T> parse, T placeholder, String remedy) {
        try {
            return parse.apply(text);
        } catch (IllegalArgumentException exception) {
            reportError(column, exception.getMessage(), remedy);
            return placeholder;
        }
    }

    private long wholeNumberOf(String column, LocatedValue value, long minimum, long maximum) {
        String remedy = "write a whole number from " + minimum + " to " + maximum + unitHint(column);
        if (!(value instanceof LocatedValue.NumberValue number)) {
            addError(value.position(), pathOf(column), "it is " + value.kind(), remedy);
            return minimum;
        }
        BigDecimal decimal = number.number();
        boolean isWhole = decimal.signum() == 0 || decimal.stripTrailingZeros().scale() <= 0;
        if (!isWhole
                || decimal.compareTo(BigDecimal.valueOf(minimum)) < 0
                || decimal.compareTo(BigDecimal.valueOf(maximum)) > 0) {
            addError(value.position(), pathOf(column), "the number is " + decimal, remedy);
            return minimum;
        }
        return decimal.longValueExact();
    }

    private double decimalOf(String column, LocatedValue value, double minimum) {
        if (value instanceof LocatedValue.NumberValue number
                && number.number().doubleValue() >= minimum
                && Double.isFinite(number.number().doubleValue())) {
            return number.number().doubleValue();
        }
        String problem = value instanceof LocatedValue.NumberValue number
                ? "the number is " + number.number()
                : "it is " + value.kind();
        addError(value.position(), pathOf(column), problem, "write a number of at least " + minimum);
        return minimum;
    }

    private <E extends Enum<E>> E enumValueOf(String column, LocatedValue value, Class<E> type) {
        E[] constants = type.getEnumConstants();
        for (E constant : constants) {
            if (value instanceof LocatedValue.TextValue text && text.text().equals(EnumSpelling.spell(constant))) {
                return constant;
            }
        }
        String problem = value instanceof LocatedValue.TextValue text
                ? "'" + text.text() + "' is unknown"
                : "it is " + value.kind();
        addError(value.position(), pathOf(column), problem, "write one of " + EnumSpelling.list(constants));
        return constants[0];
    }

    private <T> T missing(String column, T placeholder) {
        addError(row.position(), pathOf(column), "the column is missing", "add \"" + column + "\"");
        return placeholder;
    }

    private void addError(LocatedValue.Position position, String errorPath, String problem, String remedy) {
        valid = false;
        errors.add(position, errorPath, problem, remedy);
    }

    private String pathOf(String column) {
        return path.isEmpty() ? column : path + "." + column;
    }

    private String unknownColumnRemedy(String name) {
        String columns = "the columns are " + String.join(", ", requestedColumns);
        Optional<String> similarColumn = requestedColumns.stream()
                .filter(column -> withoutUnit(column).equals(withoutUnit(name)))
                .findFirst();
        return similarColumn
                .map(column -> "perhaps " + column + " was meant; " + columns)
                .orElse(columns);
    }

    /** Returns the letters of a column name in lower case, without a unit of time at the end. */
    private static String withoutUnit(String column) {
        String letters = column.toLowerCase(Locale.ROOT).replaceAll("[^a-z]", "");
        return Arrays.stream(new String[] {"millis", "seconds", "minutes", "hours", "milliseconds", "ms"})
                .filter(letters::endsWith)
                .findFirst()
                .map(unit -> letters.substring(0, letters.length() - unit.length()))
                .orElse(letters);
    }

    private static String unitHint(String column) {
        if (column.endsWith("Millis")) {
            return " (milliseconds)";
        }
        if (column.endsWith("Seconds")) {
            return " (seconds)";
        }
        return column.endsWith("Bytes") || column.endsWith("BytesPerToken") ? " (bytes)" : "";
    }

    /** Joins names with commas for an error message. */
    static String joinNames(Set<?> names) {
        return names.stream().map(Object::toString).collect(Collectors.joining(", "));
    }
}
