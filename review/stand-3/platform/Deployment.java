package review3;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Entries as processes before model runners of two software versions and a store. */
final class Deployment implements AutoCloseable {

    private static final long READY_MILLIS = 20_000;

    final Site site;
    final Record record;
    final List<EntryProcess> entries = new ArrayList<>();
    final List<ModelRunner> runners = new ArrayList<>();
    private final StoreStandIn store = new StoreStandIn();
    private long startedMillis;
    private final Path folder = Files.createTempDirectory("review3");

    /** Starts everything, with runners that make an event each so many milliseconds, and waits until all are ready. */
    Deployment(Record record, Site site, int entryCount, int runnersOfEachVersion, long eventMillis)
            throws IOException, InterruptedException {
        this.site = site;
        this.record = record;
        store.put("op/config", manifest());
        for (int number = 1; number <= runnersOfEachVersion; number++) {
            runners.add(new ModelRunner("old-" + number, "1.0", site, eventMillis, store, record));
            runners.add(new ModelRunner("new-" + number, "2.0", site, eventMillis, store, record));
        }
        Path root = Path.of("").toAbsolutePath();
        for (int number = 1; number <= entryCount; number++) {
            entries.add(new EntryProcess(number, site, root, folder));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killQuietly));
        startEntries(entries);
        Thread.sleep(site.contactMillis());
    }

    /** Leaves no process behind, however the case ends. */
    private void killQuietly() {
        for (EntryProcess entry : entries) {
            try {
                entry.kill();
            } catch (InterruptedException ended) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Starts entries and waits until they are ready. */
    void startEntries(List<EntryProcess> started) throws IOException, InterruptedException {
        for (EntryProcess entry : started) {
            entry.start(seeds(), store.address());
        }
        startedMillis = record.millis();
        long endMillis = System.currentTimeMillis() + READY_MILLIS;
        while (!started.stream().allMatch(EntryProcess::isReady)) {
            if (System.currentTimeMillis() > endMillis) {
                throw new IOException("the entries are not ready");
            }
            Thread.sleep(50);
        }
        record.write(names(started) + " are ready");
    }

    /** Returns when the last entry was started, by the clock of the record. */
    long startedMillis() {
        return startedMillis;
    }

    private static List<String> names(List<EntryProcess> entries) {
        return entries.stream().map(entry -> entry.name).toList();
    }

    /** Ends entries at the same moment. */
    void killEntries(List<EntryProcess> killed) throws InterruptedException {
        record.write(names(killed) + " are killed");
        for (EntryProcess entry : killed) {
            entry.kill();
        }
    }

    private String seeds() {
        return entries.stream()
                .limit(3)
                .map(entry -> EntryProcess.quote(entry.ip + ":" + entry.peerPort))
                .collect(Collectors.joining(",", "[", "]"));
    }

    private String manifest() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-gen\",\"host\":\"h.example\",\"prefix\":\"/gen/\","
                + "\"kind\":\"streaming\",\"timeout_ms\":" + site.budgetMillis()
                + ",\"target_latency_ms\":900,\"priority\":1,"
                + "\"service\":\"llm\",\"max_attempts\":2,\"sticky_sessions\":true,\"resumable\":true,"
                + "\"target_gap_ms\":300}],\"services\":[{\"name\":\"llm\",\"health_path\":\"/health\","
                + "\"max_connections\":" + site.channels() + ",\"protocol\":\"h1\",\"tls\":false,"
                + "\"engine\":{\"slots\":" + site.slots() + ",\"kv_capacity_tokens\":" + site.memoryTokens()
                + ",\"kv_bytes\":262144,\"link_mbps\":8800000.0,"
                + "\"moves\":true,\"backups\":true,\"stride\":72,\"most\":12,\"handle_ttl_s\":0.5,"
                + "\"switch_time_s\":6.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{\"name\":\"m\"}]}}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000}}";
    }

    /** Copies the lines of the entries' logs that contain a text into the record. */
    void recordLogLines(String text) throws IOException {
        for (EntryProcess entry : entries) {
            try (Stream<String> lines = Files.lines(entry.log())) {
                lines.filter(line -> line.contains(text)).forEach(record::write);
            }
        }
    }

    @Override
    public void close() throws IOException, InterruptedException {
        for (EntryProcess entry : entries) {
            entry.close();
        }
        for (ModelRunner runner : runners) {
            runner.close();
        }
        store.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
