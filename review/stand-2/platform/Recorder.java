import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: one line for each thing that was sent, answered or run, with the time since the start. */
final class Recorder {

    private final PrintWriter writer;
    private final long started = System.nanoTime();

    Recorder(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long millis() {
        return (System.nanoTime() - started) / 1_000_000;
    }

    synchronized void line(String text) {
        writer.printf("%7d %s%n", millis(), text);
    }
}
