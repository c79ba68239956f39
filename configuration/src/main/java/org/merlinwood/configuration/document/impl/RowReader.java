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
 * Reads the columns of one row and reports what is wrong with them. A column that is wrong yields a harmless
 * placeholder, so that the rest of the row is judged as well. Used by one thread for one reading.
 */
final class RowReader {

    /** Stands for a text that is missing or wrong. */
    static final String PLACEHOLDER = "?";

    private static final int MILLIS_PER_SECOND = 1_000;

    private final ErrorCollector errors;
    private final String path;
    private final LocatedValue.ObjectValue row;
    private final Set<String> known = new LinkedHashSet<>();
    private boolean sound = true;

    RowReader(ErrorCollector errors, String path, LocatedValue.ObjectValue row) {
        this.errors = errors;
        this.path = path;
        this.row = row;
    }

    // ------------------------------------------------------------------ state

    /** True if nothing of this row was refused so far. */
    boolean isSound() {
        return sound;
    }

    boolean has(String column) {
        return row.fields().containsKey(column);
    }

    /** Refuses a column, or the whole row where the column is absent. */
    void refuse(String column, String problem, String remedy) {
        LocatedValue.Field field = row.fields().get(column);
        LocatedValue.Position position =
                field == null ? row.position() : field.value().position();
        report(position, pathOf(column), problem, remedy);
    }

    /** Refuses every column that was not asked for. Called last. */
    void refuseUnknown() {
        row.fields().forEach((name, field) -> {
            if (!known.contains(name)) {
                report(field.position(), pathOf(name), "there is no such column", unknownRemedy(name));
            }
        });
    }

    // ------------------------------------------------------------------ columns

    String text(String column) {
        return value(column).map(value -> textOf(column, value)).orElseGet(() -> missing(column, PLACEHOLDER));
    }

    String text(String column, String byDefault) {
        return value(column).map(value -> textOf(column, value)).orElse(byDefault);
    }

    /** A text that another type parses; the type's own complaint becomes the problem. */
    <T> T parsed(String column, Function<String, T> parse, T placeholder, String remedy) {
        boolean soundBefore = sound;
        sound = true;
        String text = text(column);
        boolean soundText = sound;
        sound = soundBefore && soundText;
        return soundText ? parsedOf(column, text, parse, placeholder, remedy) : placeholder;
    }

    <T> Optional<T> optional(String column, Function<String, T> parse, T placeholder, String remedy) {
        known.add(column);
        return has(column) ? Optional.of(parsed(column, parse, placeholder, remedy)) : Optional.empty();
    }

    long whole(String column, long minimum, long maximum) {
        return value(column)
                .map(value -> wholeOf(column, value, minimum, maximum))
                .orElseGet(() -> missing(column, minimum));
    }

    long whole(String column, long minimum, long maximum, long byDefault) {
        return value(column)
                .map(value -> wholeOf(column, value, minimum, maximum))
                .orElse(byDefault);
    }

    double fraction(String column, double minimum, double byDefault) {
        return value(column).map(value -> fractionOf(column, value, minimum)).orElse(byDefault);
    }

    /** A duration, given as {@code nameMillis} or {@code nameSeconds}. */
    Optional<Long> durationMillis(String name, long minimumMillis, long maximumMillis) {
        String millis = name + "Millis";
        String seconds = name + "Seconds";
        Optional<LocatedValue> inMillis = value(millis);
        Optional<LocatedValue> inSeconds = value(seconds);
        if (inMillis.isPresent() && inSeconds.isPresent()) {
            refuse(seconds, "the duration is given twice", "keep either " + millis + " or " + seconds);
        }
        if (inMillis.isPresent()) {
            return inMillis.map(value -> wholeOf(millis, value, minimumMillis, maximumMillis));
        }
        long minimumSeconds = (minimumMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
        return inSeconds.map(value ->
                MILLIS_PER_SECOND * wholeOf(seconds, value, minimumSeconds, maximumMillis / MILLIS_PER_SECOND));
    }

    long requiredDurationMillis(String name, long minimumMillis, long maximumMillis) {
        return durationMillis(name, minimumMillis, maximumMillis)
                .orElseGet(() -> missing(name + "Millis", minimumMillis));
    }

    <E extends Enum<E>> E word(String column, Class<E> type) {
        return value(column)
                .map(value -> wordOf(column, value, type))
                .orElseGet(() -> missing(column, type.getEnumConstants()[0]));
    }

    <E extends Enum<E>> E word(String column, Class<E> type, E byDefault) {
        return value(column).map(value -> wordOf(column, value, type)).orElse(byDefault);
    }

    /** A list of texts; an absent column is an empty list. */
    List<String> texts(String column) {
        List<String> texts = new ArrayList<>();
        for (LocatedValue element : elements(column)) {
            String text = textOf(column, element);
            if (texts.contains(text)) {
                report(element.position(), pathOf(column), "'" + text + "' stands there twice", "list it once");
            }
            texts.add(text);
        }
        return texts;
    }

    /** A list of texts that another type parses. */
    <T> List<T> parsedList(String column, Function<String, T> parse, T placeholder, String remedy) {
        return texts(column).stream()
                .map(text -> parsedOf(column, text, parse, placeholder, remedy))
                .toList();
    }

    /** The rows of a table; an absent table has none. */
    List<RowReader> rows(String column) {
        List<RowReader> rows = new ArrayList<>();
        List<LocatedValue> elements = elements(column);
        for (int index = 0; index < elements.size(); index++) {
            String rowPath = pathOf(column) + "[" + index + "]";
            if (elements.get(index) instanceof LocatedValue.ObjectValue object) {
                rows.add(new RowReader(errors, rowPath, object));
            } else {
                report(
                        elements.get(index).position(),
                        rowPath,
                        "a row is " + elements.get(index).kind(),
                        "write the row as an object in braces");
            }
        }
        return rows;
    }

    /** The rows of a table that must not be empty. */
    List<RowReader> requiredRows(String column) {
        int before = errors.count();
        List<RowReader> rows = rows(column);
        if (rows.isEmpty() && errors.count() == before) {
            refuse(column, "the table has no row", "list at least one row in \"" + column + "\"");
        }
        return rows;
    }

    /** A nested object; an absent one has no columns. */
    RowReader nested(String column) {
        Optional<LocatedValue> value = value(column);
        if (value.isPresent() && value.get() instanceof LocatedValue.ObjectValue object) {
            return new RowReader(errors, pathOf(column), object);
        }
        value.ifPresent(other -> refuse(column, "it is " + other.kind(), "write an object in braces"));
        return new RowReader(errors, pathOf(column), new LocatedValue.ObjectValue(row.position(), Map.of()));
    }

    // ------------------------------------------------------------------ internals

    private Optional<LocatedValue> value(String column) {
        known.add(column);
        return Optional.ofNullable(row.fields().get(column)).map(LocatedValue.Field::value);
    }

    private List<LocatedValue> elements(String column) {
        Optional<LocatedValue> value = value(column);
        if (value.isPresent() && value.get() instanceof LocatedValue.ListValue list) {
            return list.elements();
        }
        value.ifPresent(other -> refuse(column, "it is " + other.kind(), "write a list in brackets"));
        return List.of();
    }

    private String textOf(String column, LocatedValue value) {
        if (value instanceof LocatedValue.TextValue text && !text.text().isBlank()) {
            return text.text();
        }
        String problem = value instanceof LocatedValue.TextValue ? "the text is empty" : "it is " + value.kind();
        report(value.position(), pathOf(column), problem, "write a text in quotes");
        return PLACEHOLDER;
    }

    private <T> T parsedOf(String column, String text, Function<String, T> parse, T placeholder, String remedy) {
        try {
            return parse.apply(text);
        } catch (IllegalArgumentException exception) {
            refuse(column, exception.getMessage(), remedy);
            return placeholder;
        }
    }

    private long wholeOf(String column, LocatedValue value, long minimum, long maximum) {
        String remedy = "write a whole number from " + minimum + " to " + maximum + unitHint(column);
        if (!(value instanceof LocatedValue.NumberValue number)) {
            report(value.position(), pathOf(column), "it is " + value.kind(), remedy);
            return minimum;
        }
        BigDecimal decimal = number.number();
        boolean isWhole = decimal.signum() == 0 || decimal.stripTrailingZeros().scale() <= 0;
        if (!isWhole
                || decimal.compareTo(BigDecimal.valueOf(minimum)) < 0
                || decimal.compareTo(BigDecimal.valueOf(maximum)) > 0) {
            report(value.position(), pathOf(column), "the number is " + decimal, remedy);
            return minimum;
        }
        return decimal.longValueExact();
    }

    private double fractionOf(String column, LocatedValue value, double minimum) {
        if (value instanceof LocatedValue.NumberValue number
                && number.number().doubleValue() >= minimum
                && Double.isFinite(number.number().doubleValue())) {
            return number.number().doubleValue();
        }
        String problem = value instanceof LocatedValue.NumberValue number
                ? "the number is " + number.number()
                : "it is " + value.kind();
        report(value.position(), pathOf(column), problem, "write a number of at least " + minimum);
        return minimum;
    }

    private <E extends Enum<E>> E wordOf(String column, LocatedValue value, Class<E> type) {
        E[] constants = type.getEnumConstants();
        for (E constant : constants) {
            if (value instanceof LocatedValue.TextValue text && text.text().equals(EnumSpelling.spell(constant))) {
                return constant;
            }
        }
        String problem = value instanceof LocatedValue.TextValue text
                ? "'" + text.text() + "' is unknown"
                : "it is " + value.kind();
        report(value.position(), pathOf(column), problem, "write one of " + EnumSpelling.list(constants));
        return constants[0];
    }

    private <T> T missing(String column, T placeholder) {
        report(row.position(), pathOf(column), "the column is missing", "add \"" + column + "\"");
        return placeholder;
    }

    private void report(LocatedValue.Position position, String at, String problem, String remedy) {
        sound = false;
        errors.add(position, at, problem, remedy);
    }

    private String pathOf(String column) {
        return path.isEmpty() ? column : path + "." + column;
    }

    private String unknownRemedy(String name) {
        String list = "the columns are " + String.join(", ", known);
        Optional<String> sameQuantity =
                known.stream().filter(column -> stem(column).equals(stem(name))).findFirst();
        return sameQuantity
                .map(column -> "perhaps " + column + " was meant; " + list)
                .orElse(list);
    }

    private static String stem(String column) {
        String lower = column.toLowerCase(Locale.ROOT).replaceAll("[^a-z]", "");
        return Arrays.stream(new String[] {"millis", "seconds", "minutes", "hours", "milliseconds", "ms"})
                .filter(lower::endsWith)
                .findFirst()
                .map(unit -> lower.substring(0, lower.length() - unit.length()))
                .orElse(lower);
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

    /** Joins names for a message. */
    static String joined(Set<?> names) {
        return names.stream().map(Object::toString).collect(Collectors.joining(", "));
    }
}
