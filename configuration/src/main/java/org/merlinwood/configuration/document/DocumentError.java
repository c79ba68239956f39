package org.merlinwood.configuration.document;

/**
 * An error in a document, with its position. Immutable.
 *
 * @param document name of the document, such as the file name
 * @param line line of the error, counted from 1
 * @param column column of the error, counted from 1
 * @param path path of the affected column, such as {@code instances[3].pieces}; empty if the error concerns the whole
 *     document
 * @param problem description of the error
 * @param remedy how to correct it
 */
public record DocumentError(String document, int line, int column, String path, String problem, String remedy) {

    @Override
    public String toString() {
        String place = document + ":" + line + ":" + column + ": ";
        String location = path.isEmpty() ? place : place + path + ": ";
        return location + problem + "; " + remedy;
    }
}
