package org.merlinwood.configuration.document.impl;

import java.math.BigDecimal;
import java.util.List;
import java.util.Map;

/** A JSON value that knows where it stands in its document. Immutable. */
sealed interface LocatedValue {

    /** Where the value begins. */
    Position position();

    /** How a reader of the document would call this kind of value. */
    String kind();

    /** Line and column, counted from 1. */
    record Position(int line, int column) {}

    /** A table's row, or the document itself. */
    record ObjectValue(Position position, Map<String, Field> fields) implements LocatedValue {
        @Override
        public String kind() {
            return "an object in braces";
        }
    }

    /** One named field of an object. */
    record Field(Position position, LocatedValue value) {}

    /** A list. */
    record ListValue(Position position, List<LocatedValue> elements) implements LocatedValue {
        @Override
        public String kind() {
            return "a list in brackets";
        }
    }

    /** A text in quotes. */
    record TextValue(Position position, String text) implements LocatedValue {
        @Override
        public String kind() {
            return "a text in quotes";
        }
    }

    /** A number. */
    record NumberValue(Position position, BigDecimal number) implements LocatedValue {
        @Override
        public String kind() {
            return "a number";
        }
    }

    /** {@code true}, {@code false} or {@code null}, which no column takes. */
    record LiteralValue(Position position, String literal) implements LocatedValue {
        @Override
        public String kind() {
            return literal;
        }
    }
}
