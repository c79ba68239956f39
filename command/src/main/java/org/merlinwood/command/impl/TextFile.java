package org.merlinwood.command.impl;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/**
 * A text file that has been read. Immutable.
 *
 * @param path path of the file
 * @param text content of the file
 */
public record TextFile(Path path, String text) {

    /**
     * Reads a file in UTF-8.
     *
     * @param path path of the file
     * @return the file, or an error message if it can't be read
     */
    public static Either<String, TextFile> read(Path path) {
        try {
            return Either.right(new TextFile(path, Files.readString(path)));
        } catch (NoSuchFileException exception) {
            return Either.left(path + ": there is no such file");
        } catch (CharacterCodingException exception) {
            return Either.left(path + ": the file is not text in UTF-8");
        } catch (IOException exception) {
            return Either.left(path + ": the file can't be read: " + exception.getMessage());
        }
    }

    /**
     * Returns the name used in messages.
     *
     * @return the path as given on the command line
     */
    public String name() {
        return path.toString();
    }
}
