package org.merlinwood.configuration.document.impl;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.merlinwood.configuration.document.DocumentError;

/** Parses JSON with comments and trailing commas into values with positions. Stateless and thread-safe. */
final class LocatedParser {

    private static final int MAXIMUM_DEPTH = 16;
    private static final int MAXIMUM_NUMBER_DIGITS = 30;

    private static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAXIMUM_DEPTH)
                    .maxNumberLength(MAXIMUM_NUMBER_DIGITS)
                    .build())
            .build();

    private LocatedParser() {}

    /** Parses a document. Stops at the first syntax error. */
    static Either<DocumentError, LocatedValue.ObjectValue> parse(String documentName, String text) {
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return Either.left(outsideObject(documentName, parser, "the document does not begin with {"));
            }
            LocatedValue.ObjectValue document = object(parser);
            if (parser.nextToken() != null) {
                return Either.left(outsideObject(documentName, parser, "the document continues after the closing }"));
            }
            return Either.right(document);
        } catch (JsonProcessingException exception) {
            return Either.left(syntaxError(documentName, exception));
        } catch (IOException exception) {
            throw new UncheckedIOException("reading from a string failed", exception);
        }
    }

    private static LocatedValue value(JsonParser parser) throws IOException {
        LocatedValue.Position position = position(parser.currentTokenLocation());
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> list(parser);
            case VALUE_STRING -> new LocatedValue.TextValue(position, parser.getText());
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT ->
                new LocatedValue.NumberValue(position, parser.getDecimalValue());
            default -> new LocatedValue.LiteralValue(position, parser.getText());
        };
    }

    private static LocatedValue.ObjectValue object(JsonParser parser) throws IOException {
        LocatedValue.Position start = position(parser.currentTokenLocation());
        Map<String, LocatedValue.Field> fields = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            LocatedValue.Position position = position(parser.currentTokenLocation());
            String name = parser.currentName();
            parser.nextToken();
            fields.put(name, new LocatedValue.Field(position, value(parser)));
        }
        return new LocatedValue.ObjectValue(start, fields);
    }

    private static LocatedValue.ListValue list(JsonParser parser) throws IOException {
        LocatedValue.Position start = position(parser.currentTokenLocation());
        List<LocatedValue> elements = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            elements.add(value(parser));
        }
        return new LocatedValue.ListValue(start, elements);
    }

    private static DocumentError syntaxError(String documentName, JsonProcessingException exception) {
        LocatedValue.Position position = position(exception.getLocation());
        return new DocumentError(
                documentName,
                position.line(),
                position.column(),
                "",
                "the text can't be read: " + exception.getOriginalMessage(),
                "write JSON; comments begin with // or are enclosed in /* and */");
    }

    private static DocumentError outsideObject(String documentName, JsonParser parser, String problem) {
        LocatedValue.Position position = position(parser.currentTokenLocation());
        return new DocumentError(
                documentName,
                position.line(),
                position.column(),
                "",
                problem,
                "write one object between { and }, with only comments before and after it");
    }

    private static LocatedValue.Position position(JsonLocation location) {
        if (location == null) {
            return new LocatedValue.Position(1, 1);
        }
        return new LocatedValue.Position(Math.max(1, location.getLineNr()), Math.max(1, location.getColumnNr()));
    }
}
