package org.merlinwood.configuration.document;

import java.util.List;
import java.util.stream.Collectors;

/**
 * All errors of a rejected document, sorted by position. Immutable.
 *
 * @param errors the errors, never empty
 */
public record DocumentErrors(List<DocumentError> errors) {

    /**
     * Copies the list.
     *
     * @throws IllegalArgumentException if the list is empty
     */
    public DocumentErrors {
        errors = List.copyOf(errors);
        if (errors.isEmpty()) {
            throw new IllegalArgumentException("a rejected document has at least one error");
        }
    }

    /** Returns the errors, one per line. */
    @Override
    public String toString() {
        return errors.stream().map(DocumentError::toString).collect(Collectors.joining("\n"));
    }
}
