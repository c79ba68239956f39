package org.merlinwood.configuration.document.impl;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Function;
import org.merlinwood.configuration.document.DocumentErrors;

/**
 * Steps common to all documents: parse the text, read its tables, and reject it if any error was reported. Stateless.
 */
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
        reader.reportUnknownColumns();
        return errors.count() == 0 ? Either.right(value) : Either.left(new DocumentErrors(errors.sortedByPosition()));
    }
}
