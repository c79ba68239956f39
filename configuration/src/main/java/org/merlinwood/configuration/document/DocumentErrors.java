package org.merlinwood.configuration.document;

import java.util.List;
import java.util.stream.Collectors;

/**
 * All faults of a document that was rejected, in the order of the document. Immutable.
 *
 * @param errors the faults, never empty
 */
public record DocumentErrors(List<DocumentError> errors) {

    /** Copies the list. */
    public DocumentErrors {
        errors = List.copyOf(errors);
        if (errors.isEmpty()) {
            throw new IllegalArgumentException("a rejected document has at least one error");
        }
    }

    /** Returns the faults, a line each. */
    @Override
    public String toString() {
        return errors.stream().map(DocumentError::toString).collect(Collectors.joining("\n"));
    }
}
