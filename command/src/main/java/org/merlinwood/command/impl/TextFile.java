package org.merlinwood.command.impl;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/**
 * A file that was read.
 *
 * @param path where it is
 * @param text its text
 */
public record TextFile(Path path, String text) {

    /**
     * Reads a file.
     *
     * @param path where it is
     * @return the file, or one sentence that says why it can't be read
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
     * Returns the name for messages.
     *
     * @return the path as it was given
     */
    public String name() {
        return path.toString();
    }
}
