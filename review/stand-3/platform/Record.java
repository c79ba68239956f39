package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run in one case, with the milliseconds since its start. Thread-safe. */
final class Record implements AutoCloseable {

    private final long startNanos = System.nanoTime();
    private final PrintWriter file;

    Record(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path));
    }

    synchronized void write(String line) {
        file.println(millis() + " ms  " + line);
    }

    /** Writes a line and prints it as well. */
    void print(String line) {
        write(line);
        System.out.println(line);
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    @Override
    public synchronized void close() {
        file.close();
    }
}
