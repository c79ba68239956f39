package org.merlinwood.configuration.document.impl;

import java.math.BigDecimal;
import java.util.List;
import java.util.Map;

/** A JSON value with its position in the document. Immutable. */
sealed interface LocatedValue {

    /** Position of the first character of the value. */
    Position position();

    /** Kind of the value, as error messages describe it. */
    String kind();

    /** Line and column, counted from 1. */
    record Position(int line, int column) {}

    /** A row of a table, or the whole document. */
    record ObjectValue(Position position, Map<String, Field> fields) implements LocatedValue {
        @Override
        public String kind() {
            return "an object in braces";
        }
    }

    /** A field of an object; the position is that of its name. */
    record Field(Position position, LocatedValue value) {}

    /** An array. */
    record ListValue(Position position, List<LocatedValue> elements) implements LocatedValue {
        @Override
        public String kind() {
            return "a list in brackets";
        }
    }

    /** A string. */
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

    /** {@code true}, {@code false} or {@code null}; no column accepts them. */
    record LiteralValue(Position position, String literal) implements LocatedValue {
        @Override
        public String kind() {
            return literal;
        }
    }
}
