package org.merlinwood.configuration.document;

/**
 * One fault of a document. Immutable.
 *
 * @param document name of the document, such as the file
 * @param line line of the fault, counted from 1
 * @param column column of the fault, counted from 1
 * @param path where in the tables, such as {@code instances[3].pieces}; empty for the document itself
 * @param problem what is wrong
 * @param remedy what would be right
 */
public record DocumentError(String document, int line, int column, String path, String problem, String remedy) {

    @Override
    public String toString() {
        String place = document + ":" + line + ":" + column + ": ";
        String named = path.isEmpty() ? place : place + path + ": ";
        return named + problem + "; " + remedy;
    }
}
