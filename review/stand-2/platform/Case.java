import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What all cases have in common: the folder of the record, the store, the entries, and the end. */
final class Case {

    /** Exit status of a case whose rule was broken. */
    private static final int BROKEN = 1;

    /** Exit status of a case that could not run. */
    private static final int NOT_RUN = 2;

    private static final long READY_MILLIS = 20_000;

    final Recorder recorder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Store store;
    final List<Entry> entries = new ArrayList<>();
    private final Path root;
    private final Path folder;

    /** Creates a case from the arguments of its script: the checkout and the folder of the case. */
    Case(String[] arguments) throws IOException {
        Thread.setDefaultUncaughtExceptionHandler((thread, exception) -> {
            // A fault of the script itself is no result. The entries end with this process.
            exception.printStackTrace();
            System.exit(NOT_RUN);
        });
        root = Path.of(arguments[0]);
        recorder = new Recorder(Path.of(arguments[1]).resolve("record.txt"));
        recorder.line(trouble ? "with the disruption" : "without the disruption");
        folder = Files.createTempDirectory("review");
        store = new Store();
    }

    /** Starts entries, each with an address of its own and all as seeds, and waits until they are ready. */
    void startEntries(int count, Map<String, String> bounds) throws IOException, InterruptedException {
        startEntries(count, bounds, Entry.text(store.address()));
    }

    /** As above, with another address of the store. */
    void startEntries(int count, Map<String, String> bounds, String storeAddress)
            throws IOException, InterruptedException {
        for (int number = 1; number <= count; number++) {
            entries.add(new Entry("entry-" + number, "127.0.0." + (10 + number), root, folder));
        }
        for (Entry entry : entries) {
            entry.start(storeAddress, entries, bounds);
        }
        for (Entry entry : entries) {
            if (!entry.awaitReady(READY_MILLIS)) {
                System.out.println("an entry did not become ready");
                end(NOT_RUN);
            }
        }
        recorder.line(count + " entries are ready");
    }

    /** Ends the entries and the process. */
    void finish(String result, boolean broken) throws IOException {
        recorder.line((broken ? "BROKEN: " : "held: ") + result);
        System.out.println((broken ? "broken: " : "held: ") + result);
        end(broken ? BROKEN : 0);
    }

    /** Ends the entries and the process; the case could not run as meant. */
    void notRun(String reason) throws IOException {
        recorder.line("not run: " + reason);
        System.out.println("not run: " + reason);
        end(NOT_RUN);
    }

    private void end(int status) throws IOException {
        entries.forEach(Entry::kill);
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
        System.exit(status);
    }
}
