package org.merlinwood.configuration.document.impl;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Function;
import org.merlinwood.configuration.document.DocumentErrors;

/** The frame of every reading: parse, read the tables, refuse the document if anything was wrong. Stateless. */
final class DocumentReading {

    private DocumentReading() {}

    static <T> Either<DocumentErrors, T> read(String documentName, String text, Function<RowReader, T> tables) {
        return LocatedParser.parse(documentName, text)
                .mapLeft(error -> new DocumentErrors(List.of(error)))
                .flatMap(document -> readTables(documentName, document, tables));
    }

    private static <T> Either<DocumentErrors, T> readTables(
            String documentName, LocatedValue.ObjectValue document, Function<RowReader, T> tables) {
        ErrorCollector errors = new ErrorCollector(documentName);
        RowReader reader = new RowReader(errors, "", document);
        T value = tables.apply(reader);
        reader.refuseUnknown();
        return errors.count() == 0 ? Either.right(value) : Either.left(new DocumentErrors(errors.inOrder()));
    }
}
