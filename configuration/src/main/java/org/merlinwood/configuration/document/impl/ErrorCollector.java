package org.merlinwood.configuration.document.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.merlinwood.configuration.document.DocumentError;

/** Collects the errors of one document. Not thread-safe; used for one document. */
final class ErrorCollector {

    private final String documentName;
    private final List<DocumentError> errors = new ArrayList<>();

    ErrorCollector(String documentName) {
        this.documentName = documentName;
    }

    void add(LocatedValue.Position position, String path, String problem, String remedy) {
        errors.add(new DocumentError(documentName, position.line(), position.column(), path, problem, remedy));
    }

    void add(DocumentError error) {
        errors.add(error);
    }

    int count() {
        return errors.size();
    }

    List<DocumentError> sortedByPosition() {
        return errors.stream()
                .sorted(Comparator.comparingInt(DocumentError::line).thenComparingInt(DocumentError::column))
                .toList();
    }
}
